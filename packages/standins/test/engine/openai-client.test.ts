import assert from 'node:assert/strict';
import { test } from 'node:test';
import OpenAI from 'openai';
import { createEngineStandin, expectedAnswer } from '../../src/index.js';
import type { EngineStandin } from '../../src/index.js';
import { withStandin } from '../with-standin.js';

const PROMPT = 'polish the prism [[tokens=5]]';

const withClient = (run: (client: OpenAI, engine: EngineStandin) => Promise<void>) =>
  withStandin(createEngineStandin({ timeScale: 20 }), (engine) =>
    run(new OpenAI({ baseURL: `${engine.url}/v1`, apiKey: 'none', maxRetries: 0 }), engine),
  );

test('the OpenAI client gets a complete answer with usage', () =>
  withClient(async (client) => {
    const answer = await client.chat.completions.create({
      model: 'standin-model',
      messages: [{ role: 'user', content: PROMPT }],
    });
    assert.equal(answer.choices[0]?.message.content, expectedAnswer(PROMPT, 5));
    assert.equal(answer.choices[0]?.finish_reason, 'stop');
    assert.equal(answer.usage?.completion_tokens, 5);
    assert.equal(answer.usage?.prompt_tokens, 8);
    assert.equal(answer.usage?.prompt_tokens_details?.cached_tokens, 0);
  }));

test('the OpenAI client gets a streamed answer limited by max_tokens', () =>
  withClient(async (client) => {
    const stream = await client.chat.completions.create({
      model: 'standin-model',
      messages: [{ role: 'user', content: PROMPT }],
      max_tokens: 3,
      stream: true,
      stream_options: { include_usage: true },
    });
    let text = '';
    let finishReason: string | null = null;
    let completionTokens: number | undefined;
    const roles: string[] = [];
    for await (const chunk of stream) {
      const choice = chunk.choices[0];
      if (choice?.delta.role !== undefined) roles.push(choice.delta.role);
      text += choice?.delta.content ?? '';
      finishReason = choice?.finish_reason ?? finishReason;
      completionTokens = chunk.usage?.completion_tokens ?? completionTokens;
    }
    assert.equal(text, expectedAnswer(PROMPT, 3));
    assert.equal(finishReason, 'length');
    assert.equal(completionTokens, 3);
    assert.deepEqual(roles, ['assistant']);
  }));

test('the OpenAI client lists models, and a request for an unknown model fails', () =>
  withClient(async (client, engine) => {
    const models = await client.models.list();
    assert.deepEqual(
      models.data.map(({ id }) => id),
      ['standin-model'],
    );
    await assert.rejects(
      client.chat.completions.create({
        model: 'other',
        messages: [{ role: 'user', content: 'x' }],
      }),
      OpenAI.NotFoundError,
    );
    assert.equal(engine.journal().length, 0);
  }));
