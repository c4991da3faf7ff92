/** Reads a request body up to a size limit. */

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
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > limitBytes) {
        chunks.length = 0;
        resolve({ kind: "tooLarge" });
        return;
      }
      chunks.push(chunk);
    });
    request.on(
      "end",
      () => resolve({ kind: "ok", body: Buffer.concat(chunks) }),
    );
    request.on("error", () => resolve({ kind: "aborted" }));
    request.on("close", () => resolve({ kind: "aborted" }));
  });
}
