/** One client account. */
export interface Sample {
  a: number;
}
