/** Serves the operator router over HTTP through tRPC's Node adapter. */

import { nodeHTTPRequestHandler } from "@trpc/server/adapters/node-http";
import { authenticate } from "./authenticate.ts";
import { describeError } from "./call_error.ts";
import type { OperatorHandler } from "./operator_handler.ts";
import { createOperatorRouter } from "./operator_router.ts";
import type { OperatorApiOptions } from "./options.ts";

/** Fits the platform's limit of 1 MB per value, with room for JSON escapes. */
const MAX_BODY_BYTES = 2_097_152;
const CONFLICT_STATUS = 409;

export function createTrpcHandler(
  options: OperatorApiOptions,
  pathPrefix: string,
): OperatorHandler {
  const router = createOperatorRouter(options);
  return async (req, res) => {
    const [path = ""] = (req.url ?? "").split("?");
    await nodeHTTPRequestHandler({
      req,
      res,
      router,
      path: path.slice(pathPrefix.length),
      maxBodySize: MAX_BODY_BYTES,
      allowBatching: false,
      createContext: () => ({ authentication: authenticate(req, options) }),
      responseMeta: ({ data }) =>
        data.some(isConflict) ? { status: CONFLICT_STATUS } : {},
      onError: ({ error, path: procedure, ctx }) => {
        if (ctx?.authentication.kind !== "operator") return;
        const operator = ctx.authentication.name;
        const { code } = describeError(error);
        options.logger.log("operatorCallFailed", { operator, procedure, code });
      },
    });
  };
}

/**
 * A conflict is returned as a result and not as an error, so that clients receive
 * it with its type; only the HTTP status is that of an error.
 */
function isConflict(answer: unknown): boolean {
  const { result } = answer as {
    result?: { data?: { kind?: unknown } | null };
  };
  return result?.data?.kind === "conflict";
}
