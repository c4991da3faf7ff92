/** Everyone who waits for an answer. */

import type { CallerPort } from "./caller_port.ts";

export interface WaitingCaller {
  readonly port: CallerPort;
  readonly requestId: string;
}

export class CallerTable {
  readonly #waiting = new Map<string, WaitingCaller>();

  private constructor() {}

  static create(): CallerTable {
    return new CallerTable();
  }

  add(callerId: string, caller: WaitingCaller): void {
    this.#waiting.set(callerId, caller);
  }

  get(callerId: string): WaitingCaller | undefined {
    return this.#waiting.get(callerId);
  }

  take(callerId: string): WaitingCaller | undefined {
    const caller = this.#waiting.get(callerId);
    this.#waiting.delete(callerId);
    return caller;
  }

  remove(callerId: string): void {
    this.#waiting.delete(callerId);
  }

  /** Shows everyone that their request lives. */
  sendHeartbeats(): void {
    for (const { port } of this.#waiting.values()) port.sendHeartbeat();
  }
}
