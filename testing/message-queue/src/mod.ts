/** A simulated network in virtual time with seeded faults, for randomised tests. */

export { MessageQueue } from "./message_queue.ts";
export type {
  Link,
  MessageFaults,
  MessageQueueOptions,
  QueueCounts,
  QueueNode,
  TimerOptions,
} from "./types.ts";
export { Random } from "./random.ts";
