/** Counts executions by `Idempotency-Key`. */

import type { Call, Reply } from "./reply.ts";

export class ExecutionCounter {
  readonly #counts = new Map<string, number>();

  static create(): ExecutionCounter {
    return new ExecutionCounter();
  }

  /**
   * Records an execution and returns the number of executions of its key so
   * far. Calls without a key count under the empty key.
   */
  count(call: Call): number {
    const key = String(call.headers["idempotency-key"] ?? "");
    const count = (this.#counts.get(key) ?? 0) + 1;
    this.#counts.set(key, count);
    return count;
  }

  /** Answers `GET /executions`; returns false for any other call. */
  handleAdminCall(call: Call, reply: Reply): boolean {
    if (call.method !== "GET" || call.path !== "/executions") return false;
    reply.sendJson(200, { executions: this.list() });
    return true;
  }

  list(): readonly { readonly key: string; readonly count: number }[] {
    return [...this.#counts].map(([key, count]) => ({ key, count }));
  }
}
