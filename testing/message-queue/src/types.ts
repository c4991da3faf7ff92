/** Types of the message queue. */

/** What a node does with a message. */
export interface QueueNode<Message> {
  receive(message: Message, from: string): void;
}

export interface Link {
  readonly from: string;
  readonly to: string;
}

/** Faults of every message; the shares go from 0 to 1. */
export interface MessageFaults {
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
  readonly lossProbability: number;
  readonly duplicateProbability: number;
  /** Share of messages that are held back by up to `crossingDelayMs`. */
  readonly reorderProbability: number;
  readonly maxReorderDelayMs: number;
}

export interface MessageQueueOptions {
  readonly seed: number;
  readonly faults?: Partial<MessageFaults>;
}

export interface TimerOptions {
  readonly delayMs: number;
  readonly run: () => void;
}

/** How often each thing happened. */
export type QueueCounts = Record<
  | "posted"
  | "delivered"
  | "lost"
  | "duplicated"
  | "reordered"
  | "cut"
  | "undeliverable"
  | "freezes"
  | "stops"
  | "clockJumps",
  number
>;
