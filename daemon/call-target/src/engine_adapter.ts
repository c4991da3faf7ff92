/**
 * Calls a model engine, or a rank that serves the same API. An event stream is
 * complete only if it ends with `data: [DONE]`. An engine may end the body early
 * without an HTTP error, so the adapter checks for that event.
 */

import type { HttpPool } from "@dandelionbank/open-http";
import { sendCall } from "./send_call.ts";
import type {
  RunningCall,
  TargetAdapter,
  TargetCall,
  TargetSink,
} from "./target_adapter.ts";

const STREAM_END = "data: [DONE]";
/** Size of the retained stream tail, which holds the final event and its line feeds. */
const TAIL_BYTES = 64;

export class EngineAdapter implements TargetAdapter {
  readonly #pool: HttpPool;

  private constructor(pool: HttpPool) {
    this.#pool = pool;
  }

  static create(pool: HttpPool): EngineAdapter {
    return new EngineAdapter(pool);
  }

  call(call: TargetCall, sink: TargetSink): RunningCall {
    return sendCall(this.#pool, call, checkStreamEnd(sink));
  }

  close(): Promise<void> {
    return this.#pool.close();
  }
}

function checkStreamEnd(sink: TargetSink): TargetSink {
  let isStream = false;
  let tail = "";
  return {
    onHead(status, contentType) {
      isStream = contentType.startsWith("text/event-stream");
      sink.onHead(status, contentType);
    },
    onData(chunk) {
      if (isStream) tail = appendToTail(tail, chunk);
      sink.onData(chunk);
    },
    onEnd() {
      if (!isStream || tail.includes(STREAM_END)) return sink.onEnd();
      sink.onFailure({ code: "TARGET_STREAM_CUT", mayHaveRun: true });
    },
    onFailure: (failure) => sink.onFailure(failure),
  };
}

function appendToTail(tail: string, chunk: Buffer): string {
  if (chunk.length >= TAIL_BYTES) {
    return chunk.toString("latin1").slice(-TAIL_BYTES);
  }
  return (tail + chunk.toString("latin1")).slice(-TAIL_BYTES);
}
