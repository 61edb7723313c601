/** Texts about configurations. */
import type { ConfigDifference, ConfigProblem, ConfigHistoryEntry } from '@kingcupsill/core';

const show = (value: unknown): string => (value === undefined ? '(none)' : JSON.stringify(value));

export const describeDifference = ({ path, before, after }: ConfigDifference): string =>
  `${path}: ${show(before)} -> ${show(after)}`;

export const describeProblem = ({ path, message }: ConfigProblem): string =>
  path === '' ? message : `${path}: ${message}`;

export const describeWarning = (problem: ConfigProblem): string =>
  `warning: ${describeProblem(problem)}`;

export const describeEntry = ({ version, time, author, reason, id }: ConfigHistoryEntry): string =>
  `${version}  ${time}  ${author}  ${reason}  (patch ${id})`;
