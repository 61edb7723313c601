/** Connects the batch with requests, answers, faults and the journal. */
import type { ServerResponse } from 'node:http';
import { getCutAfter, delayByFault } from '../common/faults.js';
import type { FaultTable } from '../common/types.js';
import type { Journal } from '../common/journal.js';
import { createAnswerBuffer } from './answer-buffer.js';
import { prefixFingerprints } from './answer.js';
import { createStreamFormat, formatWhole } from './chat-format.js';
import type { ChatRequest } from './chat-request.js';
import { createEngineLoop } from './engine-loop.js';
import type { BatchHandlers, EngineLoop } from './engine-loop.js';
import type { CacheFeed } from './cache-feed.js';
import { createRunTable } from './runs.js';
import type { Run, RunTable } from './runs.js';
import { EngineFaultKind, RunOutcome } from './types.js';
import type { BatchSettings, EngineRunEntry } from './types.js';

export interface RunnerOptions {
  settings: BatchSettings;
  timeScale: number;
  tokensPerChunk: number;
  resumeKeepMs: number;
  cancelOnDisconnect: boolean;
  faults: FaultTable<EngineFaultKind>;
  journal: Journal<EngineRunEntry>;
  cacheFeed: CacheFeed;
}

/** A chat request with its names. */
export interface Submission {
  requestId: string;
  benchRequest: string | null;
  digest: string;
  request: ChatRequest;
}

/** Runs chat requests in the batch and keeps their answers. */
export interface Runner {
  runs: RunTable;
  loop: EngineLoop;
  /** Starts a run; undefined when it can never fit the KV memory. */
  submit(submission: Submission): Run | undefined;
  /** Sends a run's answer from a byte offset, under the run's own request id. */
  send(run: Run, res: ServerResponse, offset: number): void;
  /** Sends the first answer to a request, with the faults that hit it. */
  answer(run: Run, res: ServerResponse): Promise<void>;
  /** Loses everything in memory. */
  crash(): void;
}

const finishEntry = (entry: EngineRunEntry, outcome: RunOutcome): void => {
  entry.endedAtMs = Date.now();
  entry.outcome = outcome;
};

/** Effects of the batch on runs and their answers. */
const createHandlers = (runs: RunTable, options: RunnerOptions): BatchHandlers => {
  const { tokensPerChunk, cacheFeed } = options;

  const flush = (run: Run, tokens: number) => {
    if (run.facts.request.stream && tokens > run.sentTokens) {
      run.buffer.append(run.format.tokens(run.sentTokens, tokens));
    }
    run.sentTokens = tokens;
  };
  const withRun =
    <Effect extends { runId: number }>(handle: (run: Run, effect: Effect) => void) =>
    (effect: Effect) => {
      const run = runs.byRunId(effect.runId);
      if (run !== undefined) handle(run, effect);
    };
  const retire = (run: Run) => runs.retire(run, performance.now());

  return {
    started: withRun((run, { cachedTokens }) => {
      run.facts.cachedTokens = cachedTokens;
      run.entry.cachedTokens = cachedTokens;
      run.entry.startedAtMs = Date.now();
      if (run.facts.request.stream) run.buffer.append(run.format.first());
    }),
    token: withRun((run, { index }) => {
      const tokens = index + 1;
      run.entry.tokens = tokens;
      if (tokens % tokensPerChunk === 0) flush(run, tokens);
      if (run.cutAfter !== undefined && tokens >= run.cutAfter) {
        run.cutAfter = undefined;
        run.entry.outcome = RunOutcome.Cut;
        run.buffer.cut();
      }
    }),
    finished: withRun((run) => {
      flush(run, run.entry.tokens);
      const { stream } = run.facts.request;
      run.buffer.append(stream ? run.format.last(run.facts) : formatWhole(run.facts));
      run.buffer.end();
      const wasCut = run.entry.outcome === RunOutcome.Cut;
      finishEntry(run.entry, wasCut ? RunOutcome.Cut : RunOutcome.Finished);
      retire(run);
    }),
    cancelled: withRun((run) => {
      run.buffer.abort();
      finishEntry(run.entry, RunOutcome.Cancelled);
      retire(run);
    }),
    rejected: withRun((run) => {
      run.rejected = true;
      run.buffer.abort();
      retire(run);
    }),
    'cache-change': ({ change }) => cacheFeed.publish(change, performance.now()),
  };
};

const newEntry = ({ requestId, benchRequest, digest }: Submission): EngineRunEntry => ({
  requestId,
  benchRequest,
  digest,
  arrivedAtMs: Date.now(),
  startedAtMs: null,
  endedAtMs: null,
  outcome: RunOutcome.Running,
  tokens: 0,
  cachedTokens: 0,
});

/** Creates a runner with an idle batch. */
export const createRunner = (options: RunnerOptions): Runner => {
  const { faults, journal, settings } = options;
  const runs = createRunTable(options.resumeKeepMs);
  const handlers = createHandlers(runs, options);
  const loop = createEngineLoop({ settings, timeScale: options.timeScale, handlers });
  let lastRunId = 0;

  const createRun = (submission: Submission): Run => {
    const { requestId, request } = submission;
    const createdSeconds = Math.floor(Date.now() / 1000);
    const facts = { requestId, request, createdSeconds, cachedTokens: 0 };
    lastRunId += 1;
    return {
      runId: lastRunId,
      requestId,
      facts,
      format: createStreamFormat(facts),
      buffer: createAnswerBuffer(request.stream),
      entry: newEntry(submission),
      sentTokens: 0,
      cutAfter: getCutAfter(faults.trigger(EngineFaultKind.CutStream)),
      rejected: false,
    };
  };

  const send = (run: Run, res: ServerResponse, offset: number) => {
    res.writeHead(200, {
      'content-type': run.facts.request.stream ? 'text/event-stream' : 'application/json',
      'cache-control': 'no-cache',
      'x-request-id': run.requestId,
    });
    run.buffer.sendTo(res, offset);
  };

  return {
    runs,
    loop,
    submit: (submission) => {
      const run = createRun(submission);
      const { request } = submission;
      runs.add(run);
      loop.arrive({
        runId: run.runId,
        promptTokens: request.promptTokens,
        answerTokens: request.answerTokens,
        fingerprints: prefixFingerprints(request.prompt, settings.blockTokens),
      });
      if (run.rejected) return undefined;
      journal.add(run.entry);
      return run;
    },
    send,
    answer: async (run, res) => {
      res.once('close', () => {
        const left = !res.writableFinished && run.entry.outcome === RunOutcome.Running;
        if (options.cancelOnDisconnect && left) loop.cancel(run.runId);
      });
      await delayByFault(faults.trigger(EngineFaultKind.LateAnswer));
      const crossed = faults.trigger(EngineFaultKind.CrossedAnswers);
      const other = crossed === undefined ? undefined : runs.otherThan(run);
      send(other ?? run, res, 0);
    },
    crash: () => {
      loop.crash();
      runs.active().forEach((run) => {
        run.buffer.abort();
        finishEntry(run.entry, RunOutcome.Lost);
      });
      runs.clear();
    },
  };
};
