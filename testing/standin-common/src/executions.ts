/** Counts how often the calls of each `Idempotency-Key` ran. */

import type { Call, Reply } from "./reply.ts";

export class ExecutionCounter {
  readonly #counts = new Map<string, number>();

  static create(): ExecutionCounter {
    return new ExecutionCounter();
  }

  /** Counts a run and says which run of its key it is; calls without a key share the empty one. */
  count(call: Call): number {
    const key = String(call.headers["idempotency-key"] ?? "");
    const count = (this.#counts.get(key) ?? 0) + 1;
    this.#counts.set(key, count);
    return count;
  }

  /** Answers `GET /executions`; says whether the call was that. */
  handleAdminCall(call: Call, reply: Reply): boolean {
    if (call.method !== "GET" || call.path !== "/executions") return false;
    reply.sendJson(200, { executions: this.list() });
    return true;
  }

  list(): readonly { readonly key: string; readonly count: number }[] {
    return [...this.#counts].map(([key, count]) => ({ key, count }));
  }
}
