/** Callers and relaying entries that wait for an answer. */

import type { CallerPort } from "./caller_port.ts";

export interface WaitingCaller {
  readonly port: CallerPort;
  readonly requestId: string;
}

export class CallerTable {
  readonly #callers = new Map<string, WaitingCaller>();

  private constructor() {}

  static create(): CallerTable {
    return new CallerTable();
  }

  add(callerId: string, caller: WaitingCaller): void {
    this.#callers.set(callerId, caller);
  }

  get(callerId: string): WaitingCaller | undefined {
    return this.#callers.get(callerId);
  }

  /** Removes the caller and returns it. */
  take(callerId: string): WaitingCaller | undefined {
    const caller = this.#callers.get(callerId);
    this.#callers.delete(callerId);
    return caller;
  }

  remove(callerId: string): void {
    this.#callers.delete(callerId);
  }

  sendHeartbeats(): void {
    for (const { port } of this.#callers.values()) port.sendHeartbeat();
  }
}
