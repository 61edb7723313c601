/** Runs a test against a stand-in and closes it whatever comes. */
export const withStandin = async <T extends { close(): Promise<void> }>(
  starting: Promise<T>,
  run: (standin: T) => Promise<void>,
): Promise<void> => {
  const standin = await starting;
  try {
    await run(standin);
  } finally {
    await standin.close();
  }
};
