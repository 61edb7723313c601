/** Application of JSON merge patches to the configuration. */
import jsonMergePatch from 'json-merge-patch';

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

const hasUnsafeName = (value: unknown): boolean => {
  if (Array.isArray(value)) return value.some(hasUnsafeName);
  if (!isObject(value)) return false;
  return Object.entries(value).some(
    ([name, inner]) => RESERVED_NAMES.has(name) || hasUnsafeName(inner),
  );
};

/** Faults of the patch itself, whatever it is applied to. */
const checkPatch = (patch: unknown): ConfigProblem[] => {
  if (!isObject(patch)) return [{ path: '', message: 'a patch must be a JSON object' }];
  if (hasUnsafeName(patch)) return [{ path: '', message: 'the patch contains a reserved name' }];
  return Object.entries(patch).flatMap(([part, change]) => {
    if (!isConfigPart(part)) return [{ path: part, message: 'cannot be changed by a patch' }];
    if (!isObject(change)) return [{ path: part, message: 'must be an object of entries' }];
    return [];
  });
};

/** Copies what the patch touches, as the merge library changes its target in place. */
const copyTouched = (config: FleetConfig, patch: JsonObject): JsonObject => {
  const copy: JsonObject = { ...config };
  Object.entries(patch).forEach(([part, change]) => {
    const entries: JsonObject = { ...(copy[part] as JsonObject) };
    Object.keys(change as JsonObject).forEach((id) => {
      if (Object.hasOwn(entries, id)) entries[id] = structuredClone(entries[id]);
    });
    copy[part] = entries;
  });
  return copy;
};

const merge = (config: FleetConfig, patch: JsonObject): JsonObject =>
  // The patch is copied too: the library places parts of it into the result.
  jsonMergePatch.apply<JsonObject>(copyTouched(config, patch), structuredClone(patch));

const rememberPatch = (applied: AppliedPatch[], patch: AppliedPatch): AppliedPatch[] =>
  [...applied, patch].slice(-MAX_APPLIED_PATCHES);

/** Why the author may not apply the patch, or undefined if it may. Without operators anyone may. */
const findRefusal = (config: FleetConfig, request: PatchRequest): string | undefined => {
  if (Object.keys(config.operators).length === 0) return undefined;
  const operator = Object.hasOwn(config.operators, request.author)
    ? config.operators[request.author]
    : undefined;
  if (operator === undefined) return `operator "${request.author}" does not exist`;
  if (isPatchAllowed(operator, request.patch)) return undefined;
  const parts = getPatchedParts(request.patch).join(', ');
  return `operator "${request.author}" may not change ${parts}`;
};

/**
 * Applies an operator's patch to the version it was made against, and validates the whole result. The configuration passed in
 * stays as it is. The caller has authenticated the author.
 */
export const applyPatch = (config: FleetConfig, request: PatchRequest): PatchOutcome => {
  const earlier = config.appliedPatches.find((applied) => applied.id === request.id);
  if (earlier !== undefined)
    return { ok: false, code: 'already-applied', version: earlier.version };
  if (request.baseVersion !== config.version) {
    return { ok: false, code: 'stale', currentVersion: config.version };
  }
  const refusal = findRefusal(config, request);
  if (refusal !== undefined) return { ok: false, code: 'forbidden', message: refusal };
  const problems = checkPatch(request.patch);
  if (problems.length > 0) return { ok: false, code: 'invalid', problems };
  const version = config.version + 1;
  const outcome = validateConfig({
    ...merge(config, request.patch as JsonObject),
    version,
    appliedPatches: rememberPatch(config.appliedPatches, { id: request.id, version }),
  });
  return outcome.ok ? outcome : { ...outcome, code: 'invalid' };
};

/** Checks only the entries that the patch touches. */
const checkTouched = (merged: JsonObject, patch: JsonObject): ConfigProblem[] =>
  Object.entries(patch).flatMap(([part, change]) => {
    if (!isConfigPart(part)) return [];
    const entries = merged[part] as JsonObject;
    return Object.keys(change as JsonObject).flatMap((id) => {
      if (!Object.hasOwn(entries, id)) return [];
      const parsed = configEntrySchemas[part].safeParse(entries[id]);
      return parsed.success ? [] : toConfigProblems(parsed.error, [part, id]);
    });
  });

/**
 * Applies a patch that was accepted as `version` to the configuration before it. The result was validated as a whole when it
 * was accepted, so that only the touched entries are checked here; the cost does not grow with the document.
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
  const faults = checkTouched(merged, patch as JsonObject);
  if (faults.length > 0) return { ok: false, problems: faults };
  const appliedPatches =
    id === undefined
      ? config.appliedPatches
      : rememberPatch(config.appliedPatches, { id, version });
  return {
    ok: true,
    config: { ...(merged as unknown as FleetConfig), version, appliedPatches },
    warnings: [],
  };
};
