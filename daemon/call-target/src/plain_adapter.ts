/**
 * Calls a plain service. HTTP itself detects a truncated answer, by the content
 * length or the final chunk.
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
    return sendCall(this.#pool, call, sink);
  }

  close(): Promise<void> {
    return this.#pool.close();
  }
}
