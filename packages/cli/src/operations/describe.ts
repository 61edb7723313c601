/** Texts about configurations. */
import type { ConfigDifference, ConfigProblem, HistoryEntry } from '@kingcupsill/core';

const show = (value: unknown): string => (value === undefined ? '(none)' : JSON.stringify(value));

export const describeDifference = ({ path, before, after }: ConfigDifference): string =>
  `${path}: ${show(before)} -> ${show(after)}`;

export const describeProblem = ({ path, message }: ConfigProblem): string =>
  path === '' ? message : `${path}: ${message}`;

export const describeWarning = (problem: ConfigProblem): string =>
  `warning: ${describeProblem(problem)}`;

export const describeEntry = ({ version, time, author, reason, id }: HistoryEntry): string =>
  `${version}  ${time}  ${author}  ${reason}  (patch ${id})`;
