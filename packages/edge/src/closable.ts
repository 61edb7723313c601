/** Resource that is closed at the end of the process. */
export interface Closable {
  close(): void | Promise<void>;
}
