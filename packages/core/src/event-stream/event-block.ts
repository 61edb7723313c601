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

const LINE_FEED = '\n';
const CARRIAGE_RETURN = '\r';
const BYTE_ORDER_MARK = '\u00ef\u00bb\u00bf';
/**
 * A field with or without a value, or a comment behind a byte order mark. Field names are lowercase; besides those of the format,
 * servers send names of headers. The status line of a response is no field.
 */
const FIELD = new RegExp(`^(?:${BYTE_ORDER_MARK})?(?::|$|[a-z][a-z0-9_-]*(?::|$))`);
const ID_FIELD = /^id(?::|$)/;

/** Returns whether a line has a field, rather than being blank or a comment. */
function isField(line: string): boolean {
  return line !== '' && !line.startsWith(':');
}

function parseId(line: string): string | undefined {
  const id = line.slice('id:'.length).trim();
  return id === '' ? undefined : id;
}

function addLine(block: EventBlock, line: string): void {
  if (!isField(line)) return;
  block.isEvent = true;
  block.isWellFormed &&= FIELD.test(line);
  if (ID_FIELD.test(line)) block.id = parseId(line);
}

/** Adds lines without their line feeds. A carriage return ends a line, too. */
function addLines(block: EventBlock, lines: string): void {
  if (lines.includes(CARRIAGE_RETURN))
    lines.split(CARRIAGE_RETURN).forEach((line) => addLine(block, line));
  else addLine(block, lines);
}

/** Returns the offset behind the line breaks at `start`. Each line feed may be preceded by a carriage return. */
function skipLineBreaks(text: string, start: number): number {
  let offset = start;
  while (text.startsWith(LINE_FEED, offset) || text.startsWith(CARRIAGE_RETURN + LINE_FEED, offset))
    offset += text.startsWith(LINE_FEED, offset) ? 1 : 2;
  return offset;
}

/** Decodes the block that begins at `start`; a blank line ends it. Returns undefined if none does. */
function decodeBlock(text: string, start: number): EventBlock | undefined {
  const block: EventBlock = { end: start, isEvent: false, isWellFormed: true, id: undefined };
  let lineStart = start;
  let lineEnd = text.indexOf(LINE_FEED, lineStart);
  while (lineEnd >= 0) {
    addLines(block, text.slice(lineStart, lineEnd));
    lineStart = lineEnd + 1;
    block.end = skipLineBreaks(text, lineStart);
    if (block.end > lineStart) return block;
    lineEnd = text.indexOf(LINE_FEED, lineStart);
  }
  return undefined;
}

/** Decodes latin1 text that ends with a complete block. */
export function decodeBlocks(text: string): EventBlock[] {
  const blocks: EventBlock[] = [];
  let block = decodeBlock(text, 0);
  while (block !== undefined) {
    blocks.push(block);
    block = decodeBlock(text, block.end);
  }
  return blocks;
}
