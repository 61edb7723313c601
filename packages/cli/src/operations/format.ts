/** Text formats of configuration differences, problems and history entries. */
import type { ConfigDifference, ConfigProblem, ConfigHistoryEntry } from '@kingcupsill/core';

const format = (value: unknown): string => (value === undefined ? '(none)' : JSON.stringify(value));

export const formatDifference = ({ path, before, after }: ConfigDifference): string =>
  `${path}: ${format(before)} -> ${format(after)}`;

export const formatProblem = ({ path, message }: ConfigProblem): string =>
  path === '' ? message : `${path}: ${message}`;

export const formatWarning = (problem: ConfigProblem): string =>
  `warning: ${formatProblem(problem)}`;

export const formatHistoryEntry = ({
  version,
  time,
  author,
  reason,
  id,
}: ConfigHistoryEntry): string => `${version}  ${time}  ${author}  ${reason}  (patch ${id})`;
