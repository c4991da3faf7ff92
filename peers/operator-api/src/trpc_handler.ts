/** Serves the operators' router over HTTP by tRPC's adapter. */

import { nodeHTTPRequestHandler } from "@trpc/server/adapters/node-http";
import { authenticate } from "./authenticate.ts";
import { describeError } from "./call_error.ts";
import type { OperatorHandler } from "./operator_handler.ts";
import { createOperatorRouter } from "./operator_router.ts";
import type { OperatorApiOptions } from "./options.ts";

/** A value of the platform's one megabyte, as JSON within a call. */
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

/** A lost race is a result, so that it keeps its type, under an error's status. */
function isConflict(answer: unknown): boolean {
  const { result } = answer as {
    result?: { data?: { kind?: unknown } | null };
  };
  return result?.data?.kind === "conflict";
}
