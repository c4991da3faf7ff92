/** Reads a request body up to a size limit. */

import { ByteCollector } from "@dandelionbank/collect-bytes";
import type { IncomingMessage } from "node:http";

export type BodyResult =
  | { readonly kind: "ok"; readonly body: Buffer }
  | { readonly kind: "tooLarge" }
  | { readonly kind: "aborted" };

export function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<BodyResult> {
  return new Promise((resolve) => {
    const collector = ByteCollector.create({ expectedBytes: limitBytes });
    let sizeBytes = 0;
    request.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > limitBytes) {
        collector.clear();
        resolve({ kind: "tooLarge" });
        return;
      }
      collector.add(chunk);
    });
    request.on("end", () => resolve({ kind: "ok", body: collector.take() }));
    request.on("error", () => resolve({ kind: "aborted" }));
    request.on("close", () => resolve({ kind: "aborted" }));
  });
}
