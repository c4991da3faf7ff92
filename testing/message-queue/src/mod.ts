/** Messages and timers in virtual time with seeded faults, for randomised runs. */

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
