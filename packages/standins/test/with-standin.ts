/** Runs a test with a stand-in and closes it even if the test fails. */
export const withStandin = async <T extends { close(): Promise<void> }>(
  pendingStandin: Promise<T>,
  run: (standin: T) => Promise<void>,
): Promise<void> => {
  const standin = await pendingStandin;
  try {
    await run(standin);
  } finally {
    await standin.close();
  }
};
