/** HTTP transport shared by the target adapters. */

import { type HttpPool, mayLackBody } from "@dandelionbank/open-http";
import { StreamTail } from "@dandelionbank/read-events";
import { PieceMerger } from "./piece_merger.ts";
import type { RunningCall, TargetCall, TargetSink } from "./target_adapter.ts";

/** An agent keeps the answer until it is delivered, so its memory bounds it. */
const MAX_ANSWER_BYTES = 67_108_864;
/** Statuses with which a target turns a call away because of its load. */
const BUSY_STATUSES: ReadonlySet<number> = new Set([429, 503]);

export interface AnswerReceiver {
  readonly sink: TargetSink;
  /** Whether an event stream whose message has ended with `tail` is complete. */
  readonly isStreamComplete: (tail: StreamTail) => boolean;
}

export function sendCall(
  pool: HttpPool,
  call: TargetCall,
  { sink, isStreamComplete }: AnswerReceiver,
): RunningCall {
  let tail: StreamTail | undefined;
  let sizeBytes = 0;
  let isBodyRequired = false;
  const pieces = PieceMerger.create((piece) => sink.onData(piece));
  const running = pool.send(
    {
      method: call.method,
      path: call.path,
      headers: createHeaders(call),
      body: call.body,
    },
    {
      onHead: ({ status, headers }) => {
        isBodyRequired = mayLackBody({ status, headers }, call.method);
        const contentType = String(headers["content-type"] ?? "");
        const isStream = contentType.startsWith("text/event-stream");
        tail = isStream ? StreamTail.create() : undefined;
        const retryAfter = headers["retry-after"];
        const isBusy = BUSY_STATUSES.has(status) &&
          typeof retryAfter === "string";
        sink.onHead({ status, contentType, ...(isBusy ? { retryAfter } : {}) });
      },
      onData: (chunk) => {
        sizeBytes += chunk.length;
        if (sizeBytes > MAX_ANSWER_BYTES) {
          running.cancel();
          return;
        }
        tail?.push(chunk);
        pieces.add(chunk);
      },
      onEnd: () => {
        pieces.flush();
        if (isBodyRequired && sizeBytes === 0) {
          return sink.onFailure({
            code: describeFailure({ sizeBytes, wasSent: true }),
            mayHaveRun: true,
          });
        }
        if (tail === undefined || isStreamComplete(tail)) return sink.onEnd();
        sink.onFailure({ code: "TARGET_STREAM_CUT", mayHaveRun: true });
      },
      onError: (_, wasSent) => {
        pieces.flush();
        sink.onFailure({
          code: describeFailure({ sizeBytes, wasSent }),
          mayHaveRun: wasSent,
        });
      },
    },
  );
  return running;
}

function describeFailure(
  { sizeBytes, wasSent }: {
    readonly sizeBytes: number;
    readonly wasSent: boolean;
  },
): string {
  if (sizeBytes > MAX_ANSWER_BYTES) return "TARGET_ANSWER_TOO_LONG";
  return wasSent ? "TARGET_CONNECTION_LOST" : "TARGET_UNREACHABLE";
}

function createHeaders(call: TargetCall): Record<string, string> {
  return {
    "content-type": call.contentType,
    "priority": `u=${call.priority}`,
    // An answer names no call, so a late second one would be taken for the next.
    "connection": "close",
    ...(call.key === undefined ? {} : { "idempotency-key": call.key }),
  };
}
