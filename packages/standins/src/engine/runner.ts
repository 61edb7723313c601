/** Runs chat requests in the batch and applies faults to their answers. */
import type { ServerResponse } from 'node:http';
import { getCutAfter, delayByFault } from '../common/faults.js';
import type { FaultTable } from '../common/types.js';
import type { Journal } from '../common/journal.js';
import { createAnswerBuffer } from './answer-buffer.js';
import { prefixFingerprints } from './answer.js';
import { createStreamFormatter, formatCompletion } from './chat-format.js';
import type { ChatRequest } from './chat-request.js';
import { createEngineLoop } from './engine-loop.js';
import type { BatchHandlers, EngineLoop } from './engine-loop.js';
import type { CacheFeed } from './cache-feed.js';
import { createRunTable } from './run-table.js';
import type { Run, RunTable } from './run-table.js';
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

/** A chat request with its ids and body digest. */
export interface Submission {
  requestId: string;
  benchRequest: string | null;
  digest: string;
  request: ChatRequest;
}

/** Runs chat requests in the batch and retains their answers. */
export interface Runner {
  runs: RunTable;
  loop: EngineLoop;
  /** Submits a request to the batch. Returns undefined if it exceeds the total KV memory. */
  submit(submission: Submission): Run | undefined;
  /** Streams the answer of a run from a byte offset, with the request id of that run. */
  sendAnswer(run: Run, res: ServerResponse, offset: number): void;
  /** Responds to the chat request that started the run and injects active faults. */
  respond(run: Run, res: ServerResponse): Promise<void>;
  /** Discards the batch, the prefix cache, all runs and their answers. */
  crash(): void;
}

const finishEntry = (entry: EngineRunEntry, outcome: RunOutcome): void => {
  entry.endedAtMs = Date.now();
  entry.outcome = outcome;
};

/** Creates the handlers that apply batch effects to runs and their answers. */
const createHandlers = (runs: RunTable, options: RunnerOptions): BatchHandlers => {
  const { tokensPerChunk, cacheFeed } = options;

  const flush = (run: Run, tokens: number) => {
    if (run.context.request.stream && tokens > run.appendedTokens) {
      run.buffer.append(run.formatter.tokenChunk(run.appendedTokens, tokens));
    }
    run.appendedTokens = tokens;
  };
  const withRun =
    <Effect extends { runId: number }>(handle: (run: Run, effect: Effect) => void) =>
    (effect: Effect) => {
      const run = runs.byRunId(effect.runId);
      if (run !== undefined) handle(run, effect);
    };
  const scheduleRemoval = (run: Run) => runs.scheduleRemoval(run, performance.now());

  return {
    started: withRun((run, { cachedTokens }) => {
      run.context.cachedTokens = cachedTokens;
      run.entry.cachedTokens = cachedTokens;
      run.entry.startedAtMs = Date.now();
      if (run.context.request.stream) run.buffer.append(run.formatter.firstChunk());
    }),
    token: withRun((run, { index }) => {
      const tokens = index + 1;
      run.entry.tokens = tokens;
      if (tokens % tokensPerChunk === 0) flush(run, tokens);
      if (run.cutAfter !== undefined && tokens >= run.cutAfter) {
        run.cutAfter = undefined;
        run.entry.outcome = RunOutcome.Cut;
        run.buffer.destroyReaders();
      }
    }),
    finished: withRun((run) => {
      flush(run, run.entry.tokens);
      const { stream } = run.context.request;
      run.buffer.append(
        stream ? run.formatter.finalChunks(run.context) : formatCompletion(run.context),
      );
      run.buffer.end();
      const wasCut = run.entry.outcome === RunOutcome.Cut;
      finishEntry(run.entry, wasCut ? RunOutcome.Cut : RunOutcome.Finished);
      scheduleRemoval(run);
    }),
    cancelled: withRun((run) => {
      run.buffer.abort();
      finishEntry(run.entry, RunOutcome.Cancelled);
      scheduleRemoval(run);
    }),
    rejected: withRun((run) => {
      run.rejected = true;
      run.buffer.abort();
      scheduleRemoval(run);
    }),
    'cache-change': ({ change }) => cacheFeed.publish(change, performance.now()),
  };
};

const createEntry = ({ requestId, benchRequest, digest }: Submission): EngineRunEntry => ({
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
    const context = { requestId, request, createdSeconds, cachedTokens: 0 };
    lastRunId += 1;
    return {
      runId: lastRunId,
      requestId,
      context,
      formatter: createStreamFormatter(context),
      buffer: createAnswerBuffer(request.stream),
      entry: createEntry(submission),
      appendedTokens: 0,
      cutAfter: getCutAfter(faults.trigger(EngineFaultKind.CutStream)),
      rejected: false,
    };
  };

  const sendAnswer = (run: Run, res: ServerResponse, offset: number) => {
    res.writeHead(200, {
      'content-type': run.context.request.stream ? 'text/event-stream' : 'application/json',
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
      loop.enqueue({
        runId: run.runId,
        promptTokens: request.promptTokens,
        answerTokens: request.answerTokens,
        fingerprints: prefixFingerprints(request.prompt, settings.blockTokens),
      });
      if (run.rejected) return undefined;
      journal.add(run.entry);
      return run;
    },
    sendAnswer,
    respond: async (run, res) => {
      res.once('close', () => {
        const disconnectedEarly = !res.writableFinished && run.entry.outcome === RunOutcome.Running;
        if (options.cancelOnDisconnect && disconnectedEarly) loop.cancel(run.runId);
      });
      await delayByFault(faults.trigger(EngineFaultKind.LateAnswer));
      const crossedFault = faults.trigger(EngineFaultKind.CrossedAnswers);
      const other = crossedFault === undefined ? undefined : runs.findOther(run);
      sendAnswer(other ?? run, res, 0);
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
