/** Runs requests at the backend server, resumes cut engine answers, and replaces answers to other requests by the request's own. */
import { setTimeout as delay } from 'node:timers/promises';

import { REQUEST_ID_HEADER, filterForwardedHeaders } from '@kingcupsill/core';
import { isNotSent } from '@kingcupsill/fleet';
import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';

import type { Answer } from '../answer/types.js';
import { AnswerEnd } from '../answer/types.js';
import { createEngineClient } from './engine-client.js';
import { acceptsConnections } from './probe.js';
import { BackendKind, RunEnd } from './types.js';
import type { BackendClient, BackendClientOptions, BackendRequest } from './types.js';

type BackendResponse = Dispatcher.ResponseData;

/** Creates the client of one backend server. */
export function createBackendClient(options: BackendClientOptions): BackendClient {
  const { url, kind, maxResumes = 3, resumeDelayMs = 100 } = options;
  const dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
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

  /** Reads the rest of an answer that an engine keeps, from where it broke off or from its start. */
  async function resumeUntilWhole(attempt: string, answer: Answer, signal: AbortSignal) {
    for (let tries = 0; tries < maxResumes && !signal.aborted; tries += 1) {
      await delay(resumeDelayMs);
      const res = await engine.resume(attempt, answer.length(), signal);
      if (res?.statusCode === 200 && (await takeAnswer(attempt, res, answer))) return true;
      if (res) abandon(res);
    }
    return false;
  }

  async function receive(req: BackendRequest, answer: Answer, signal: AbortSignal) {
    const outcome = await send(req, signal).catch(endOfError);
    if (outcome === RunEnd.NotRun) return RunEnd.NotRun;
    if (outcome !== RunEnd.Broken && (await takeAnswer(req.attempt, outcome, answer))) {
      return RunEnd.Whole;
    }
    if (kind !== BackendKind.Engine) return RunEnd.Broken;
    return (await resumeUntilWhole(req.attempt, answer, signal)) ? RunEnd.Whole : RunEnd.Broken;
  }

  return {
    async run(req, answer) {
      const controller = new AbortController();
      running.set(req.attempt, controller);
      const end = await receive(req, answer, controller.signal);
      running.delete(req.attempt);
      answer.finish(end === RunEnd.Whole ? AnswerEnd.Whole : AnswerEnd.Broken);
      return end;
    },

    async cancel(attempt) {
      if (kind === BackendKind.Engine) await engine.cancel(attempt);
      running.get(attempt)?.abort();
    },

    async sync() {
      if (kind === BackendKind.Plain) return acceptsConnections(url);
      const listed = await engine.listRunning().catch(() => null);
      if (!listed) return false;
      const foreign = listed.filter((id) => !running.has(id));
      await Promise.all(foreign.map((id) => engine.cancel(id)));
      return foreign.length === 0;
    },

    close: () => dispatcher.destroy(),
  };
}

/** Takes the answer if it is the attempt's own; false when it is another's or broke off. */
async function takeAnswer(attempt: string, res: BackendResponse, answer: Answer): Promise<boolean> {
  if (!isAnswerTo(res, attempt)) {
    abandon(res);
    return false;
  }
  answer.setHead({ status: res.statusCode, headers: filterForwardedHeaders(res.headers) });
  return readBody(res, answer);
}

async function readBody(res: BackendResponse, answer: Answer): Promise<boolean> {
  try {
    for await (const chunk of res.body) await answer.append(chunk as Buffer);
    return true;
  } catch {
    return false;
  }
}

/** Gives up an answer without waiting for its rest. */
function abandon(res: BackendResponse): void {
  res.body.on('error', () => undefined).destroy();
}

function endOfError(err: unknown): typeof RunEnd.NotRun | typeof RunEnd.Broken {
  return isNotSent(err) ? RunEnd.NotRun : RunEnd.Broken;
}

function isAnswerTo(res: BackendResponse, attempt: string): boolean {
  const named = res.headers[REQUEST_ID_HEADER];
  return named === undefined || named === attempt;
}
