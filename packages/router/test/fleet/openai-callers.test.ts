import assert from 'node:assert/strict';
import { test } from 'node:test';

import { expectedAnswer } from '@kingcupsill/standins';
import OpenAI, { APIError } from 'openai';
import { request } from 'undici';

import { API_KEY, MODEL, OTHER_API_KEY, waitUntil, withFleet } from './fleet.js';

const userMessage = (content: string) => [{ role: 'user' as const, content }];

const createClient = (url: string, apiKey: string) =>
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

test('serves streamed responses with usage, non-streamed responses and the list of models to the OpenAI client', () =>
  withFleet(async ({ url }) => {
    const openai = createClient(url, API_KEY);
    const stream = await openai.chat.completions.create({
      model: MODEL,
      messages: userMessage('[[tokens=12]] lens'),
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

    const messages = userMessage('[[tokens=7]] mirror');
    const completion = await openai.chat.completions.create({ model: MODEL, messages });
    assert.equal(completion.choices[0]?.message.content, expectedAnswer('[[tokens=7]] mirror', 7));
    const models = await openai.models.list();
    assert.deepEqual(
      models.data.map(({ id }) => id),
      [MODEL],
    );
  }));

test('gives the OpenAI client a typed error for each refusal, which states that the request did not run', () =>
  withFleet(async ({ url, engine }) => {
    const complete = (apiKey: string, model: string, content = 'hello') =>
      createClient(url, apiKey).chat.completions.create({ model, messages: userMessage(content) });
    await assertRefused(complete('wrong', MODEL), { status: 401, code: 'unknown_key' });
    await assertRefused(complete(API_KEY, 'no-model'), { status: 404, code: 'unknown_service' });
    const notAllowed = { status: 403, code: 'service_not_allowed' };
    await assertRefused(complete(OTHER_API_KEY, MODEL), notAllowed);
    const largeRequest = complete(API_KEY, MODEL, 'x'.repeat(30_000));
    await assertRefused(largeRequest, { status: 413, code: 'body_too_large' });
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

test('responds to requests above the queue limit with 429 and a retry-after header', () =>
  withFleet(async ({ url, engine }) => {
    const headers = { authorization: `Bearer ${API_KEY}`, 'content-type': 'application/json' };
    const body = JSON.stringify({ model: MODEL, messages: userMessage('[[tokens=400]] busy') });
    const calls = Array.from({ length: 12 }, async () => {
      const res = await request(`${url}/v1/chat/completions`, { method: 'POST', headers, body });
      const answer = (await res.body.json()) as { error?: { code: string; ran: string } };
      return { status: res.statusCode, retryAfter: res.headers['retry-after'], ...answer };
    });
    await waitUntil(() => engine.journal().length > 0);
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
