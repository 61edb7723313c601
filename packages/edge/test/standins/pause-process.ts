/** Pauses this process, as when its machine stands still: nothing of it runs, and what others send arrives meanwhile. */
export function pauseProcess(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}
