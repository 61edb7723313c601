import assert from 'node:assert/strict';
import { test } from 'node:test';
import VError from 'verror';
import { createLogger } from '../../src/index.js';

function createSample() {
  const lines: string[] = [];
  const logger = createLogger({
    process: 'sample',
    id: 'sample-1',
    incarnation: 'i1',
    write: (line) => lines.push(line),
  });
  const parsedLines = () => lines.map((line) => JSON.parse(line) as Record<string, unknown>);
  return { logger, lines, parsedLines };
}

test('each line is a JSON object that starts with the base fields', () => {
  const { logger, lines, parsedLines: written } = createSample();
  logger.info('listening', { port: 1, event: 'not this', text: 'two\nlines' });
  assert.equal(lines.length, 1);
  assert.match(lines[0]!, /^\{"time":"[^"]+Z","level":"info".*\}\n$/);
  const { time, ...rest } = written()[0]!;
  assert.ok(Math.abs(Date.now() - Date.parse(String(time))) < 60_000);
  const baseFields = { level: 'info', process: 'sample', id: 'sample-1', incarnation: 'i1' };
  assert.deepEqual(rest, { ...baseFields, event: 'listening', port: 1, text: 'two\nlines' });
});

test('changing the level affects only that logger', () => {
  const { logger, parsedLines: written } = createSample();
  const other = createSample();
  logger.debug('unseen');
  logger.setLevel('debug');
  logger.debug('seen');
  logger.trace('unseen');
  other.logger.debug('unseen');
  assert.deepEqual(
    written().map(({ event }) => event),
    ['seen'],
  );
  assert.equal(logger.level(), 'debug');
  assert.deepEqual(other.lines, []);
});

test('errors are logged with their causes, and a line is written even if its fields cannot be serialized', () => {
  const { logger, parsedLines: written } = createSample();
  const circular: Record<string, unknown> = {};
  circular.self = circular;
  logger.error('failed', { err: new VError(new Error('disk'), 'write'), bytes: 1n });
  logger.error('odd', { circular });
  const [failed, odd] = written();
  assert.match((failed!.err as { stack: string }).stack, /write: disk[^]*caused by: Error: disk/);
  assert.equal(failed!.bytes, '1');
  assert.equal(odd!.event, 'odd');
});
