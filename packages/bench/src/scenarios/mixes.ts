/** Call mixes: short notes, advice, long reviews or summaries, and calls to plain services. */
import { CallKind } from '../load/index.js';
import type { CallTemplate, SizeDistribution } from '../load/index.js';
import type { Deployment } from './topologies.js';

const ZERO_SIZE: SizeDistribution = { median: 0, sigma: 0, max: 0 };

/** Creates a chat template; prompt sizes are in characters, answer sizes in tokens. */
function createChatTemplate(
  kind: CallKind,
  service: string,
  weight: number,
  sizes: { prompt: SizeDistribution; answer: SizeDistribution },
): CallTemplate {
  return { kind, service, weight, promptChars: sizes.prompt, answerTokens: sizes.answer };
}

const NOTE = {
  prompt: { median: 120, sigma: 0.5, max: 600 },
  answer: { median: 20, sigma: 0.6, max: 120 },
};
const ADVICE = {
  prompt: { median: 300, sigma: 0.6, max: 2000 },
  answer: { median: 60, sigma: 0.7, max: 400 },
};
const REVIEW = {
  prompt: { median: 1500, sigma: 0.8, max: 8000 },
  answer: { median: 250, sigma: 0.8, max: 1000 },
};

/** Mix of many short and some long chats. */
export function chatMix({ model }: Deployment): CallTemplate[] {
  return [
    createChatTemplate(CallKind.ChatStream, model, 4, NOTE),
    createChatTemplate(CallKind.ChatStream, model, 3, ADVICE),
    createChatTemplate(CallKind.ChatWhole, model, 1, ADVICE),
    createChatTemplate(CallKind.ChatStream, model, 2, REVIEW),
  ];
}

/** Mix of mostly short reminders and a few long summaries. */
export function reminderMix({ model }: Deployment): CallTemplate[] {
  return [
    createChatTemplate(CallKind.ChatStream, model, 6, NOTE),
    createChatTemplate(CallKind.ChatWhole, model, 2, NOTE),
    createChatTemplate(CallKind.ChatStream, model, 2, REVIEW),
  ];
}

/** Mix of medium-length chats only. */
export function adviceMix({ model }: Deployment): CallTemplate[] {
  return [createChatTemplate(CallKind.ChatStream, model, 1, ADVICE)];
}

/** Mix of short chats only. */
export function noteMix({ model }: Deployment): CallTemplate[] {
  return [
    createChatTemplate(CallKind.ChatStream, model, 2, NOTE),
    createChatTemplate(CallKind.ChatWhole, model, 1, NOTE),
  ];
}

/** Mix of lookups and records of the plain service with the given weights. */
export function plainMix(
  { plainService }: Deployment,
  lookupWeight: number,
  recordWeight: number,
): CallTemplate[] {
  const textLength = { median: 200, sigma: 0.5, max: 2000 };
  return [
    {
      kind: CallKind.Lookup,
      service: plainService,
      weight: lookupWeight,
      promptChars: ZERO_SIZE,
      answerTokens: ZERO_SIZE,
    },
    {
      kind: CallKind.Record,
      service: plainService,
      weight: recordWeight,
      promptChars: textLength,
      answerTokens: ZERO_SIZE,
    },
  ];
}

/** Combines mixes; each gets the total weight given with it, divided in proportion among its templates. */
export function combineMixes(...parts: [number, CallTemplate[]][]): CallTemplate[] {
  return parts.flatMap(([factor, mix]) => {
    const total = mix.reduce((sum, { weight }) => sum + weight, 0);
    return mix.map((template) => ({ ...template, weight: (factor * template.weight) / total }));
  });
}
