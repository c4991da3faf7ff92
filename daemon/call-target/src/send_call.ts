/** HTTP transport shared by the target adapters. */

import type { HttpPool } from "@dandelionbank/open-http";
import type { RunningCall, TargetCall, TargetSink } from "./target_adapter.ts";

export function sendCall(
  pool: HttpPool,
  call: TargetCall,
  sink: TargetSink,
): RunningCall {
  return pool.send(
    {
      method: call.method,
      path: call.path,
      headers: createHeaders(call),
      body: call.body,
    },
    {
      onHead: ({ status, headers }) =>
        sink.onHead(status, String(headers["content-type"] ?? "")),
      onData: (chunk) => sink.onData(chunk),
      onEnd: () => sink.onEnd(),
      onError: (_, wasSent) =>
        sink.onFailure({
          code: wasSent ? "TARGET_CONNECTION_LOST" : "TARGET_UNREACHABLE",
          mayHaveRun: wasSent,
        }),
    },
  );
}

function createHeaders(call: TargetCall): Record<string, string> {
  return {
    "content-type": call.contentType,
    "priority": `u=${call.priority}`,
    ...(call.key === undefined ? {} : { "idempotency-key": call.key }),
  };
}
