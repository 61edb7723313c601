import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { ESLint } from 'eslint';
import { getOwn, setOwn } from '../../src/collections/index.js';

const INHERITED = ['constructor', '__proto__', 'toString'];

test('a property is found under any name only if it is the own one', () => {
  INHERITED.forEach((name) => {
    const object: Record<string, number> = {};
    assert.equal(getOwn(object, name), undefined);
    setOwn(object, name, 5);
    assert.equal(getOwn(object, name), 5);
    assert.deepEqual(Object.keys(object), [name]);
  });
});

// Guards against further plain objects that are used as maps of names from outside (review/7).
test('the linter refuses lookups by any name in a plain object', async () => {
  const eslint = new ESLint({
    cwd: fileURLToPath(new URL('../../../../', import.meta.url)),
    // With the environment's CI=true the parser would take the file's own text in place of the first one given.
    overrideConfig: {
      languageOptions: { parserOptions: { disallowAutomaticSingleRunInference: true } },
    },
  });
  const lint = async (body: string): Promise<number> => {
    const text = `export function find(names: Record<string, number>, list: number[], name: string, kind: 'a' | 'b') {\n  ${body}\n}\n`;
    const [result] = await eslint.lintText(text, {
      filePath: 'packages/core/src/collections/own-properties.ts',
    });
    return result!.messages.filter(({ ruleId }) => ruleId === 'kingcupsill/no-inherited-properties')
      .length;
  };
  assert.equal(await lint('return [names[name], kind];'), 1);
  assert.equal(await lint('return (names[name] ??= 1) + (name in names ? 1 : 0);'), 2);
  assert.equal(await lint('return names[kind]! + list[list.length - 1]! + name.length;'), 0);
});
