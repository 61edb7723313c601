/** Application of JSON merge patches to the configuration. */
import jsonMergePatch from 'json-merge-patch';
import { getOwn, setOwn } from '../collections/index.js';

import { isPatchAllowed, getPatchedParts } from './permissions.js';
import { MAX_APPLIED_PATCHES, RESERVED_NAMES, configEntrySchemas, isConfigPart } from './schema.js';
import type {
  AcceptedPatch,
  AppliedPatch,
  ConfigProblem,
  FleetConfig,
  PatchOutcome,
  PatchRequest,
  ValidationOutcome,
} from './types.js';
import { toConfigProblems, validateConfig } from './validate.js';

type JsonObject = Record<string, unknown>;

const isObject = (value: unknown): value is JsonObject =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const containsReservedName = (value: unknown): boolean => {
  if (Array.isArray(value)) return value.some(containsReservedName);
  if (!isObject(value)) return false;
  return Object.entries(value).some(
    ([name, inner]) => RESERVED_NAMES.has(name) || containsReservedName(inner),
  );
};

/** Validates the patch on its own, independently of the configuration. */
const checkPatch = (patch: unknown): ConfigProblem[] => {
  if (!isObject(patch)) return [{ path: '', message: 'a patch must be a JSON object' }];
  if (containsReservedName(patch))
    return [{ path: '', message: 'the patch contains a reserved name' }];
  return Object.entries(patch).flatMap(([part, change]) => {
    if (!isConfigPart(part)) return [{ path: part, message: 'cannot be changed by a patch' }];
    if (!isObject(change)) return [{ path: part, message: 'must be an object of entries' }];
    return [];
  });
};

/** Copies the entries that the patch changes, because the merge library modifies its target in place. */
const copyPatchedEntries = (config: FleetConfig, patch: JsonObject): JsonObject => {
  const copy: JsonObject = { ...config };
  Object.entries(patch).forEach(([part, change]) => {
    const entries: JsonObject = { ...(getOwn(copy, part) as JsonObject) };
    Object.keys(change as JsonObject).forEach((id) => {
      if (Object.hasOwn(entries, id)) setOwn(entries, id, structuredClone(getOwn(entries, id)));
    });
    setOwn(copy, part, entries);
  });
  return copy;
};

const merge = (config: FleetConfig, patch: JsonObject): JsonObject =>
  // The patch is cloned as well: the library reuses its objects in the result.
  jsonMergePatch.apply<JsonObject>(copyPatchedEntries(config, patch), structuredClone(patch));

const appendAppliedPatch = (applied: AppliedPatch[], patch: AppliedPatch): AppliedPatch[] =>
  [...applied, patch].slice(-MAX_APPLIED_PATCHES);

/** Returns the reason why the author must not apply the patch, or undefined. Without defined operators every author is allowed. */
const findPermissionError = (config: FleetConfig, request: PatchRequest): string | undefined => {
  if (Object.keys(config.operators).length === 0) return undefined;
  const operator = getOwn(config.operators, request.author);
  if (operator === undefined) return `operator "${request.author}" does not exist`;
  if (isPatchAllowed(operator, request.patch)) return undefined;
  const parts = getPatchedParts(request.patch).join(', ');
  return `operator "${request.author}" may not change ${parts}`;
};

/**
 * Applies an operator's patch to its base version and validates the whole result. `config` is not modified. The caller must have
 * authenticated the author.
 */
export const applyPatch = (config: FleetConfig, request: PatchRequest): PatchOutcome => {
  const existing = config.appliedPatches.find((applied) => applied.id === request.id);
  if (existing !== undefined)
    return { ok: false, code: 'already-applied', version: existing.version };
  if (request.baseVersion !== config.version) {
    return { ok: false, code: 'stale', currentVersion: config.version };
  }
  const permissionError = findPermissionError(config, request);
  if (permissionError !== undefined)
    return { ok: false, code: 'forbidden', message: permissionError };
  const problems = checkPatch(request.patch);
  if (problems.length > 0) return { ok: false, code: 'invalid', problems };
  const version = config.version + 1;
  const outcome = validateConfig({
    ...merge(config, request.patch as JsonObject),
    version,
    appliedPatches: appendAppliedPatch(config.appliedPatches, { id: request.id, version }),
  });
  return outcome.ok ? outcome : { ...outcome, code: 'invalid' };
};

/** Validates only the entries that the patch changes. */
const checkPatchedEntries = (merged: JsonObject, patch: JsonObject): ConfigProblem[] =>
  Object.entries(patch).flatMap(([part, change]) => {
    if (!isConfigPart(part)) return [];
    const entries = merged[part] as JsonObject;
    return Object.keys(change as JsonObject).flatMap((id) => {
      if (!Object.hasOwn(entries, id)) return [];
      const parsed = configEntrySchemas[part].safeParse(getOwn(entries, id));
      return parsed.success ? [] : toConfigProblems(parsed.error, [part, id]);
    });
  });

/**
 * Applies an accepted patch to the preceding version. The whole result was validated on acceptance, so only the changed entries are
 * checked here and the cost does not depend on the size of the document.
 */
export const applyAcceptedPatch = (
  config: FleetConfig,
  accepted: AcceptedPatch,
): ValidationOutcome => {
  const { version, id, patch } = accepted;
  if (version !== config.version + 1) {
    const message = `a patch to version ${version} does not apply to version ${config.version}`;
    return { ok: false, problems: [{ path: 'version', message }] };
  }
  const problems = checkPatch(patch);
  if (problems.length > 0) return { ok: false, problems };
  const merged = merge(config, patch as JsonObject);
  const entryProblems = checkPatchedEntries(merged, patch as JsonObject);
  if (entryProblems.length > 0) return { ok: false, problems: entryProblems };
  const appliedPatches =
    id === undefined
      ? config.appliedPatches
      : appendAppliedPatch(config.appliedPatches, { id, version });
  return {
    ok: true,
    config: { ...(merged as unknown as FleetConfig), version, appliedPatches },
    warnings: [],
  };
};
