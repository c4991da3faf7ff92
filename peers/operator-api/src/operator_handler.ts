/**
 * Request handler of the operator interface, over which operators read and write
 * the platform's objects. tRPC and the router are loaded at
 * the first call, so that they take no memory in an entry that no operator calls.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { OperatorApiOptions } from "./options.ts";

/** Path prefix of the requests for this handler. */
export const OPERATOR_PATH = "/operator/";

export type OperatorHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

export function createOperatorHandler(
  options: OperatorApiOptions,
): OperatorHandler {
  let loading: Promise<OperatorHandler> | undefined;
  return async (request, response) => {
    loading ??= loadHandler(options);
    const handle = await loading;
    await handle(request, response);
  };
}

async function loadHandler(
  options: OperatorApiOptions,
): Promise<OperatorHandler> {
  const { createTrpcHandler } = await import("./trpc_handler.ts");
  return createTrpcHandler(options, OPERATOR_PATH);
}
