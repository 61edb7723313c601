import assert from 'node:assert/strict';
import { test } from 'node:test';

import { expectedAnswer } from '@kingcupsill/standins';
import OpenAI, { APIError } from 'openai';
import { request } from 'undici';

import { API_KEY, MODEL, OTHER_API_KEY, until, withFleet } from './fleet.js';

const user = (content: string) => [{ role: 'user' as const, content }];

const clientOf = (url: string, apiKey: string) =>
  new OpenAI({ baseURL: `${url}/v1`, apiKey, maxRetries: 0 });

interface Refusal {
  status: number;
  code: string;
}

async function assertRefused(call: Promise<unknown>, expected: Refusal): Promise<void> {
  await assert.rejects(call, (err) => {
    assert.ok(err instanceof APIError);
    assert.equal(err.status, expected.status);
    assert.equal(err.code, expected.code);
    assert.equal((err.error as { ran?: string }).ran, 'no');
    return true;
  });
}

test('the openai client gets streamed answers with usage, whole answers and the list of models', () =>
  withFleet(async ({ url }) => {
    const openai = clientOf(url, API_KEY);
    const stream = await openai.chat.completions.create({
      model: MODEL,
      messages: user('[[tokens=12]] lens'),
      stream: true,
      stream_options: { include_usage: true },
    });
    let text = '';
    let completionTokens = 0;
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
      completionTokens = chunk.usage?.completion_tokens ?? completionTokens;
    }
    assert.equal(text, expectedAnswer('[[tokens=12]] lens', 12));
    assert.equal(completionTokens, 12);

    const messages = user('[[tokens=7]] mirror');
    const whole = await openai.chat.completions.create({ model: MODEL, messages });
    assert.equal(whole.choices[0]?.message.content, expectedAnswer('[[tokens=7]] mirror', 7));
    const models = await openai.models.list();
    assert.deepEqual(
      models.data.map(({ id }) => id),
      [MODEL],
    );
  }));

test('the openai client gets each refusal as a typed error that says nothing ran', () =>
  withFleet(async ({ url, engine }) => {
    const ask = (apiKey: string, model: string, content = 'hello') =>
      clientOf(url, apiKey).chat.completions.create({ model, messages: user(content) });
    await assertRefused(ask('wrong', MODEL), { status: 401, code: 'unknown_key' });
    await assertRefused(ask(API_KEY, 'no-model'), { status: 404, code: 'unknown_service' });
    const notAllowed = { status: 403, code: 'service_not_allowed' };
    await assertRefused(ask(OTHER_API_KEY, MODEL), notAllowed);
    const large = ask(API_KEY, MODEL, 'x'.repeat(30_000));
    await assertRefused(large, { status: 413, code: 'body_too_large' });
    const badJson = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${API_KEY}` },
      body: '{"model":',
    });
    assert.equal(badJson.statusCode, 400);
    const { error } = (await badJson.body.json()) as { error: { code: string; ran: string } };
    assert.deepEqual([error.code, error.ran], ['invalid_body', 'no']);
    assert.equal(engine.journal().length, 0);
  }));

test('a full queue answers 429 at once and says when to come back', () =>
  withFleet(async ({ url, engine }) => {
    const headers = { authorization: `Bearer ${API_KEY}`, 'content-type': 'application/json' };
    const body = JSON.stringify({ model: MODEL, messages: user('[[tokens=400]] busy') });
    const calls = Array.from({ length: 12 }, async () => {
      const res = await request(`${url}/v1/chat/completions`, { method: 'POST', headers, body });
      const answer = (await res.body.json()) as { error?: { code: string; ran: string } };
      return { status: res.statusCode, retryAfter: res.headers['retry-after'], ...answer };
    });
    await until(() => engine.journal().length > 0);
    const answers = await Promise.all(calls);
    const refused = answers.filter(({ status }) => status === 429);
    assert.ok(refused.length > 0);
    refused.forEach(({ retryAfter, error }) => {
      assert.ok(Number(retryAfter) >= 1);
      assert.deepEqual([error?.code, error?.ran], ['queue_full', 'no']);
    });
    const completed = answers.filter(({ status }) => status === 200);
    assert.equal(completed.length + refused.length, answers.length);
    assert.equal(engine.journal().length, completed.length);
  }));
