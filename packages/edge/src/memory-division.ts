/** Division of the process's memory among what it holds for others, so that the sum of all limits stays below it. */
import { BODIES_FRACTION } from './callers/body-budget.js';

/** Parts of the memory in bytes. What the kernel holds for sockets isn't among them: only its own settings limit that. */
export interface MemoryDivision {
  /** The program, its state and the heap. */
  own: number;
  /** Buffers that nothing refers to any more, until the garbage collector has freed them. */
  uncollected: number;
  /** Heads of responses while they arrive, as long as few of them are large. */
  responseHeads: number;
  requestBodies: number;
  /** What callers have sent ahead of the answers to earlier requests, and bodies that are much work to read. */
  waitingInput: number;
  /** Buffered responses and unfinished events. */
  responses: number;
}

const BYTES_PER_MB = 1024 * 1024;
/** Resident set of a busy router that holds nothing for others; half of a smaller memory. */
const MAX_OWN_BYTES = 112 * BYTES_PER_MB;
const OWN_FRACTION = 1 / 2;
const MAX_UNCOLLECTED_BYTES = 32 * BYTES_PER_MB;
const UNCOLLECTED_FRACTION = 0.15;
const HEADS_FRACTION = 1 / 16;
const WAITING_INPUT_FRACTION = 1 / 64;
const RESPONSES_FRACTION = 0.09;
/** Two responses of the maximum size, and ordinary ones besides. */
const MIN_RESPONSES_BYTES = 18 * BYTES_PER_MB;

/** Divides `memoryMb` megabytes. */
export function divideMemory(memoryMb: number): MemoryDivision {
  const memory = memoryMb * BYTES_PER_MB;
  return {
    own: Math.min(MAX_OWN_BYTES, memory * OWN_FRACTION),
    uncollected: Math.min(MAX_UNCOLLECTED_BYTES, memory * UNCOLLECTED_FRACTION),
    responseHeads: memory * HEADS_FRACTION,
    requestBodies: memory * BODIES_FRACTION,
    waitingInput: memory * WAITING_INPUT_FRACTION,
    responses: Math.max(MIN_RESPONSES_BYTES, memory * RESPONSES_FRACTION),
  };
}
