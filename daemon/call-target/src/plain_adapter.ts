/**
 * Calls a plain service. HTTP detects a truncated answer by its length or its
 * last chunk; an answer with neither is complete unless its connection is reset.
 * An event stream has to end after an event.
 */

import type { HttpPool } from "@dandelionbank/open-http";
import { sendCall } from "./send_call.ts";
import type {
  RunningCall,
  TargetAdapter,
  TargetCall,
  TargetSink,
} from "./target_adapter.ts";

export class PlainAdapter implements TargetAdapter {
  readonly #pool: HttpPool;

  private constructor(pool: HttpPool) {
    this.#pool = pool;
  }

  static create(pool: HttpPool): PlainAdapter {
    return new PlainAdapter(pool);
  }

  call(call: TargetCall, sink: TargetSink): RunningCall {
    return sendCall(this.#pool, call, {
      sink,
      isStreamComplete: (tail) => tail.endsAfterEvent,
    });
  }

  close(): Promise<void> {
    return this.#pool.close();
  }
}
