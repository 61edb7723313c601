/** Backend server client, which resumes responses that an engine truncated or mixed up with those of other requests. */
import { setTimeout as delay } from 'node:timers/promises';

import { REQUEST_ID_HEADER, filterForwardedHeaders } from '@kingcupsill/core';
import { isStatus } from '@kingcupsill/core/http-syntax';
import { createEventSplitter } from '@kingcupsill/core/event-stream';
import type { EventSplitter } from '@kingcupsill/core/event-stream';
import { isConnectError } from '@kingcupsill/fleet';
import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';

import type { ResponseBuffer } from '../response/types.js';
import { ResponseEnd } from '../response/types.js';
import { createEngineClient } from './engine-client.js';
import { acceptsConnections } from './accepts-connections.js';
import { createResetDetectingConnector } from './reset-detection.js';
import { createResponseParts } from './response-parts.js';
import type { ResponseParts } from './response-parts.js';
import { BackendKind, RunEnd } from './types.js';
import type { BackendClient, BackendClientOptions, BackendRequest } from './types.js';

type BackendResponse = Dispatcher.ResponseData;

/** Response of one run, which may arrive in several parts. */
interface Reception {
  attempt: string;
  response: ResponseBuffer;
  splitter: EventSplitter;
  parts: ResponseParts;
}

/** Creates a client of one backend server. */
export function createBackendClient(options: BackendClientOptions): BackendClient {
  const { url, kind, maxResumes = 3, resumeDelayMs = 100 } = options;
  const dispatcher = new Agent({
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: createResetDetectingConnector(),
  });
  const engine = createEngineClient(url, dispatcher);
  const running = new Map<string, AbortController>();

  function send(req: BackendRequest, signal: AbortSignal): Promise<BackendResponse> {
    return request(url + req.path, {
      method: req.method,
      headers: { ...filterForwardedHeaders(req.headers), [REQUEST_ID_HEADER]: req.attempt },
      body: req.body.length > 0 ? req.body : null,
      dispatcher,
      signal,
    });
  }

  /** Reads the missing part of a response that the engine keeps, which is all of it if nothing was received. */
  async function resumeUntilComplete(reception: Reception, signal: AbortSignal) {
    const { attempt, response } = reception;
    for (let resumes = 0; resumes < maxResumes && !signal.aborted; resumes += 1) {
      await delay(resumeDelayMs);
      const res = await engine.resume(attempt, response.length(), signal);
      if (res?.statusCode === 200 && (await receiveResponse(reception, res))) return true;
      if (res) discard(res);
    }
    return false;
  }

  async function exchange(req: BackendRequest, response: ResponseBuffer, signal: AbortSignal) {
    const outcome = await send(req, signal).catch(toRunEnd);
    if (outcome === RunEnd.NotRun) return RunEnd.NotRun;
    const reception = {
      attempt: req.attempt,
      response,
      splitter: createEventSplitter(),
      parts: createResponseParts(),
    };
    if (outcome !== RunEnd.Broken && (await receiveResponse(reception, outcome))) {
      return RunEnd.Whole;
    }
    if (kind !== BackendKind.Engine) return RunEnd.Broken;
    return (await resumeUntilComplete(reception, signal)) ? RunEnd.Whole : RunEnd.Broken;
  }

  return {
    async run(req, response) {
      const controller = new AbortController();
      running.set(req.attempt, controller);
      const end = await exchange(req, response, controller.signal);
      running.delete(req.attempt);
      response.finish(end === RunEnd.Whole ? ResponseEnd.Whole : ResponseEnd.Broken);
      return end;
    },

    async cancel(attempt) {
      if (kind === BackendKind.Engine) await engine.cancel(attempt);
      running.get(attempt)?.abort();
    },

    async sync() {
      if (kind === BackendKind.Plain) return acceptsConnections(url);
      const runningIds = await engine.listRunning().catch(() => null);
      if (!runningIds) return false;
      const leftOver = runningIds.filter((id) => !running.has(id));
      await Promise.all(leftOver.map((id) => engine.cancel(id)));
      return leftOver.length === 0;
    },

    close: () => dispatcher.destroy(),
  };
}

/** Writes the response to the buffer. Resolves with false if its status is none, it belongs to another request, isn't the missing part or is truncated. */
async function receiveResponse(reception: Reception, res: BackendResponse): Promise<boolean> {
  const { attempt, response, parts } = reception;
  const isResponse = isStatus(res.statusCode) && isResponseTo(res, attempt);
  if (!isResponse || !parts.begin(res.headers, response.length())) {
    discard(res);
    return false;
  }
  const headers = filterForwardedHeaders(res.headers);
  response.setHead({ status: res.statusCode, headers });
  return receiveBody(reception, res);
}

async function receiveBody(
  { response, splitter, parts }: Reception,
  { headers, body }: BackendResponse,
): Promise<boolean> {
  const isEventStream = String(headers['content-type']).startsWith('text/event-stream');
  try {
    for await (const chunk of body) {
      if (isEventStream) splitter.push(chunk as Buffer);
      await response.append(chunk as Buffer);
    }
    // A stream that ends inside an event is incomplete, also if its framing is satisfied.
    return !splitter.isInsideEvent() && parts.isWhole(response.length());
  } catch {
    return false;
  }
}

/** Closes a response without reading the rest of its body. */
function discard(res: BackendResponse): void {
  res.body.on('error', () => undefined).destroy();
}

function toRunEnd(err: unknown): typeof RunEnd.NotRun | typeof RunEnd.Broken {
  return isConnectError(err) ? RunEnd.NotRun : RunEnd.Broken;
}

function isResponseTo(res: BackendResponse, attempt: string): boolean {
  const responseId = res.headers[REQUEST_ID_HEADER];
  return responseId === undefined || responseId === attempt;
}
