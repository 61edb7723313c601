/** Guards against parts of a response that are joined although the second one isn't the rest of the first. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';

import { createBackendClient } from '../../src/backend/backend-client.js';
import { BackendKind, RunEnd } from '../../src/backend/types.js';
import { createResponseBuffer } from '../../src/response/response-buffer.js';

const EVENT_STREAM = { 'Content-Type': 'text/event-stream' };
const FIRST_EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
const REST = 'id: 3\ndata: c\n\n';
const JSON_HEADERS = { 'Content-Type': 'application/json' };
const JSON_TEXT = '{"text": "whole"}';
const JSON_CUT = 9;

type Answer = (res: ServerResponse) => void;

/** Runs a request at an engine that breaks off its response with `begin`, and answers each request for the rest with `resume`. */
async function runResumed(begin: Answer, resume: Answer): Promise<{ end: RunEnd; text: string }> {
  const server = createServer((req, res) => {
    req.resume();
    if (req.url!.includes('offset=')) resume(res);
    else begin(res);
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = createBackendClient({ url, kind: BackendKind.Engine, resumeDelayMs: 1 });
  const response = createResponseBuffer();
  const req = { attempt: 'a1', method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0) };
  const runPromise = client.run(req, response);
  let text = '';
  for await (const chunk of response.read(0)) text += chunk.toString();
  const end = await runPromise;
  await client.close();
  server.close();
  server.closeAllConnections();
  return { end, text };
}

function breakStream(res: ServerResponse): void {
  res.writeHead(200, EVENT_STREAM);
  res.write(FIRST_EVENTS);
  setTimeout(() => res.destroy(), 20);
}

function breakJson(res: ServerResponse): void {
  res.writeHead(200, { ...JSON_HEADERS, 'Content-Length': JSON_TEXT.length });
  res.write(JSON_TEXT.slice(0, JSON_CUT));
  setTimeout(() => res.destroy(), 20);
}

function answer(headers: Record<string, string>, body: string): Answer {
  return (res) => {
    res.writeHead(200, headers);
    res.end(body);
  };
}

function answerRaw(text: string): Answer {
  return (res) => {
    res.socket!.end(text);
  };
}

/** Answers that aren't the rest, by name: how the response broke off, the answer, and the bytes that were received before. */
const NO_RESTS: Record<string, [Answer, Answer, string]> = {
  'another content type': [
    breakStream,
    answer({ 'Content-Type': 'text/html' }, REST),
    FIRST_EVENTS,
  ],
  'no content type': [breakStream, answer({}, REST), FIRST_EVENTS],
  'no bytes, ended by its connection': [
    breakStream,
    answerRaw('HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n'),
    FIRST_EVENTS,
  ],
  'the whole length again': [
    breakJson,
    answer({ ...JSON_HEADERS, 'Content-Length': String(JSON_TEXT.length) }, JSON_TEXT),
    JSON_TEXT.slice(0, JSON_CUT),
  ],
  'no bytes, although some are left': [
    breakJson,
    answer({ ...JSON_HEADERS, 'Content-Length': '0' }, ''),
    JSON_TEXT.slice(0, JSON_CUT),
  ],
};

for (const [name, [begin, resume, expected]] of Object.entries(NO_RESTS)) {
  // Guards against a short, doubled or mixed response that is passed on as whole.
  test(`reports a response as broken if the answer to the request for its rest has ${name}`, async () => {
    const { end, text } = await runResumed(begin, resume);
    assert.deepEqual([end, text], [RunEnd.Broken, expected]);
  });
}

test('joins a response and its rest', async () => {
  const stream = await runResumed(breakStream, answer(EVENT_STREAM, REST));
  assert.deepEqual([stream.end, stream.text], [RunEnd.Whole, FIRST_EVENTS + REST]);
  const streamEnd = await runResumed(breakStream, answer(EVENT_STREAM, ''));
  assert.deepEqual([streamEnd.end, streamEnd.text], [RunEnd.Whole, FIRST_EVENTS]);
  const json = await runResumed(breakJson, answer(JSON_HEADERS, JSON_TEXT.slice(JSON_CUT)));
  assert.deepEqual([json.end, json.text], [RunEnd.Whole, JSON_TEXT]);
});

// Guards against a success with an empty or short body in place of a response whose head never arrived completely.
test('reports a response whose head is cut as broken', async () => {
  const head = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n';
  for (let offset = 1; offset < head.length; offset += 7) {
    for (const isReset of [false, true]) {
      const cut: Answer = ({ socket }) =>
        socket!.write(head.slice(0, offset), () =>
          isReset ? socket!.resetAndDestroy() : socket!.end(),
        );
      const { end, text } = await runResumed(cut, cut);
      assert.deepEqual([end, text], [RunEnd.Broken, ''], `${offset} ${isReset}`);
    }
  }
});
