/** Decoding of complete blocks of a server-sent event stream: events, comments and blank lines. */

/** Lines up to and including a blank line. */
export interface EventBlock {
  /** Offset behind the block in the decoded bytes. */
  end: number;
  /** The block has fields; otherwise it consists of comments and blank lines. */
  isEvent: boolean;
  /** All lines are fields or comments. */
  isWellFormed: boolean;
  /** Id of the event as latin1 text; undefined if it has none. */
  id: string | undefined;
}

/** Blank lines end a block. Each line break may be preceded by a carriage return. */
const BLOCK_END = /\n(?:\r?\n)+/g;
const LINE_BREAK = /\r\n|\r|\n/;
const BYTE_ORDER_MARK = '\u00ef\u00bb\u00bf';
/**
 * A blank line, a comment, or a field with or without a value. Field names are lowercase; besides those of the format, servers send
 * names of headers. The status line of a response is no field.
 */
const LINE = new RegExp(`^(?:${BYTE_ORDER_MARK})?(?::|$|[a-z][a-z0-9_-]*(?::|$))`);
const ID_FIELD = /^id(?::|$)/;

function findId(lines: readonly string[]): string | undefined {
  const line = lines.findLast((text) => ID_FIELD.test(text));
  const id = line?.slice('id:'.length).trim();
  return id === '' ? undefined : id;
}

function decodeBlock(text: string, end: number): EventBlock {
  const lines = text.split(LINE_BREAK);
  return {
    end,
    isEvent: lines.some((line) => line !== '' && !line.startsWith(':')),
    isWellFormed: lines.every((line) => LINE.test(line)),
    id: findId(lines),
  };
}

/** Decodes bytes that end with a complete block. */
export function decodeBlocks(bytes: Buffer): EventBlock[] {
  const text = bytes.toString('latin1');
  let start = 0;
  return [...text.matchAll(BLOCK_END)].map((match) => {
    const end = match.index + match[0].length;
    const block = decodeBlock(text.slice(start, end), end);
    start = end;
    return block;
  });
}
