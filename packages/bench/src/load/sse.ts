/** Incremental parser of streamed chat answers (server-sent events). */

/** Content of a stream received so far. */
export interface StreamedAnswer {
  content: string;
  /** Whether the end marker `[DONE]` was received. */
  isDone: boolean;
  /** Error event of the stream, if any. */
  error?: unknown;
}

/** Parser of one stream. */
export interface SseReader {
  /** Appends a part of the body; returns whether it added answer content. */
  push: (text: string) => boolean;
  /** Returns the answer received so far. */
  read: () => StreamedAnswer;
}

interface ChatChunk {
  error?: unknown;
  choices?: { delta?: { content?: string } }[];
}

const DATA_PREFIX = 'data: ';
const DONE_MARKER = '[DONE]';

/** Creates a parser for one stream. */
export function createSseReader(): SseReader {
  const answer: StreamedAnswer = { content: '', isDone: false };
  let incompleteLine = '';

  const handleData = (data: string) => {
    if (data === DONE_MARKER) {
      answer.isDone = true;
      return;
    }
    const chunk = JSON.parse(data) as ChatChunk;
    if (chunk.error !== undefined) answer.error = chunk.error;
    answer.content += chunk.choices?.[0]?.delta?.content ?? '';
  };

  const push = (text: string) => {
    const lengthBefore = answer.content.length;
    const lines = (incompleteLine + text).split('\n');
    incompleteLine = lines.pop() ?? '';
    lines
      .filter((line) => line.startsWith(DATA_PREFIX))
      .forEach((line) => handleData(line.slice(DATA_PREFIX.length)));
    return answer.content.length > lengthBefore;
  };

  return { push, read: () => answer };
}
