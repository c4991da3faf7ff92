/** Types of the simulated network. */

/** A node that receives messages. */
export interface QueueNode<Message> {
  receive(message: Message, from: string): void;
}

/** A one-way link between two nodes. */
export interface Link {
  readonly from: string;
  readonly to: string;
}

/** Delay range of each message, and the probabilities of its faults, from 0 to 1. */
export interface MessageFaults {
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
  readonly lossProbability: number;
  readonly duplicateProbability: number;
  /** Probability that a message is delayed by up to `maxReorderDelayMs` more. */
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

/** Numbers of messages by what happened to them, and of faults of nodes. */
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
