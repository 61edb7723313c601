/** Mixes of calls: short notes, advice and long reviews or summaries, and plain services. */
import { CallKind } from '../load/index.js';
import type { CallTemplate, SizeDistribution } from '../load/index.js';
import type { Deployment } from './topologies.js';

const NOTHING: SizeDistribution = { median: 0, sigma: 0, max: 0 };

/** A chat: characters of the prompt and tokens of the answer. */
function chat(
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

/** Chats of a deployment: many short, some long. */
export function chatMix({ model }: Deployment): CallTemplate[] {
  return [
    chat(CallKind.ChatStream, model, 4, NOTE),
    chat(CallKind.ChatStream, model, 3, ADVICE),
    chat(CallKind.ChatWhole, model, 1, ADVICE),
    chat(CallKind.ChatStream, model, 2, REVIEW),
  ];
}

/** Reminders to households in the main, with a few long summaries. */
export function reminderMix({ model }: Deployment): CallTemplate[] {
  return [
    chat(CallKind.ChatStream, model, 6, NOTE),
    chat(CallKind.ChatWhole, model, 2, NOTE),
    chat(CallKind.ChatStream, model, 2, REVIEW),
  ];
}

/** Chats of middle length alone. */
export function adviceMix({ model }: Deployment): CallTemplate[] {
  return [chat(CallKind.ChatStream, model, 1, ADVICE)];
}

/** Short chats alone. */
export function noteMix({ model }: Deployment): CallTemplate[] {
  return [chat(CallKind.ChatStream, model, 2, NOTE), chat(CallKind.ChatWhole, model, 1, NOTE)];
}

/** Lookups and records of the plain service, in the relation given. */
export function plainMix(
  { plainService }: Deployment,
  lookups: number,
  records: number,
): CallTemplate[] {
  const text = { median: 200, sigma: 0.5, max: 2000 };
  return [
    {
      kind: CallKind.Lookup,
      service: plainService,
      weight: lookups,
      promptChars: NOTHING,
      answerTokens: NOTHING,
    },
    {
      kind: CallKind.Record,
      service: plainService,
      weight: records,
      promptChars: text,
      answerTokens: NOTHING,
    },
  ];
}

/** Both mixes with a weight in front of all their templates. */
export function weighMixes(...parts: [number, CallTemplate[]][]): CallTemplate[] {
  return parts.flatMap(([factor, mix]) => {
    const total = mix.reduce((sum, { weight }) => sum + weight, 0);
    return mix.map((template) => ({ ...template, weight: (factor * template.weight) / total }));
  });
}
