/** Guards against log lines for each listing of the same foreign entries. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StoreKind } from '@kingcupsill/prepared-platform';
import { createUnreadableObjects } from '../../src/store/unreadable-objects.js';
import { createRecordingLogger } from '../standins/recording-logger.js';
import type { LoggedLine } from '../standins/recording-logger.js';

test('an object that can not be read is logged once for each reason, and counted each time', () => {
  const lines: LoggedLine[] = [];
  const counted: string[] = [];
  const { report } = createUnreadableObjects({
    logger: createRecordingLogger(lines),
    onRead: (kind) => counted.push(kind),
  });
  const foreign = { name: 'x'.repeat(5000), revision: 7, spec: {} };
  report(StoreKind.Servers, foreign, 'field zone');
  report(StoreKind.Servers, { ...foreign, revision: 8 }, 'field zone');
  report(StoreKind.Servers, { ...foreign, revision: 9 }, 'field state');
  assert.deepEqual(counted, ['servers', 'servers', 'servers']);
  const name = 'x'.repeat(128);
  assert.deepEqual(
    lines.map(({ event, fields }) => [event, fields]),
    [
      ['server-unreadable', { kind: 'servers', name, revision: 7, message: 'field zone' }],
      ['server-unreadable', { kind: 'servers', name, revision: 9, message: 'field state' }],
    ],
  );
});
