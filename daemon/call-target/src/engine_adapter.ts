/**
 * Calls a model engine, or a rank that serves the same API. An event stream is
 * complete only if it ends with the event `data: [DONE]`.
 */

import type { HttpPool } from "@dandelionbank/open-http";
import { sendCall } from "./send_call.ts";
import type {
  RunningCall,
  TargetAdapter,
  TargetCall,
  TargetSink,
} from "./target_adapter.ts";

export class EngineAdapter implements TargetAdapter {
  readonly #pool: HttpPool;

  private constructor(pool: HttpPool) {
    this.#pool = pool;
  }

  static create(pool: HttpPool): EngineAdapter {
    return new EngineAdapter(pool);
  }

  call(call: TargetCall, sink: TargetSink): RunningCall {
    return sendCall(this.#pool, call, {
      sink,
      isStreamComplete: (tail) => tail.endsAfterFinalEvent,
    });
  }

  close(): Promise<void> {
    return this.#pool.close();
  }
}
