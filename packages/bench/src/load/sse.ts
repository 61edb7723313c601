/** Reads streamed chat answers (server-sent events). */

/** What a stream has carried so far. */
export interface StreamedAnswer {
  content: string;
  /** Whether the end mark `[DONE]` came. */
  isDone: boolean;
  /** Error event of the stream, if one came. */
  error?: unknown;
}

/** Takes the pieces of one stream. */
export interface SseReader {
  /** Adds a piece of the body; returns whether it carried content. */
  push: (text: string) => boolean;
  read: () => StreamedAnswer;
}

interface ChatChunk {
  error?: unknown;
  choices?: { delta?: { content?: string } }[];
}

const DATA_PREFIX = 'data: ';
const END_MARK = '[DONE]';

/** Creates the reader of one stream. */
export function createSseReader(): SseReader {
  const answer: StreamedAnswer = { content: '', isDone: false };
  let rest = '';

  const takeData = (data: string) => {
    if (data === END_MARK) {
      answer.isDone = true;
      return;
    }
    const chunk = JSON.parse(data) as ChatChunk;
    if (chunk.error !== undefined) answer.error = chunk.error;
    answer.content += chunk.choices?.[0]?.delta?.content ?? '';
  };

  const push = (text: string) => {
    const lengthBefore = answer.content.length;
    const lines = (rest + text).split('\n');
    rest = lines.pop() ?? '';
    lines
      .filter((line) => line.startsWith(DATA_PREFIX))
      .forEach((line) => takeData(line.slice(DATA_PREFIX.length)));
    return answer.content.length > lengthBefore;
  };

  return { push, read: () => answer };
}
