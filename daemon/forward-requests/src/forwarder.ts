/**
 * Handles the requests of the callers' server: reads the body, matches the
 * route, and starts a task for each request that may be served.
 */

import { computeProofAgeMs } from "@dandelionbank/track-configuration";
import { decodeCallerHead } from "@dandelionbank/platform-adapter";
import { readInstant } from "@dandelionbank/read-instant";
import type { IncomingMessage, ServerResponse } from "node:http";
import { CallerAnswer } from "./caller_answer.ts";
import type { ForwardContext } from "./forward_context.ts";
import { RequestTask } from "./request_task.ts";
import { routeRequest } from "./route_request.ts";

/** `retry-after` of a request that this entry cannot route yet. */
const UNAVAILABLE_RETRY_MS = 200;
const STATUS_TOO_LARGE = 413;

export class Forwarder {
  readonly #context: ForwardContext;
  readonly #tasks = new Set<RequestTask>();
  #lastId = 0;
  #refusesNew = false;

  private constructor(context: ForwardContext) {
    this.#context = context;
  }

  static create(context: ForwardContext): Forwarder {
    return new Forwarder(context);
  }

  /** Number of requests in progress. */
  get activeCount(): number {
    return this.#tasks.size;
  }

  /** Refuses every further request as not run. */
  refuseNewRequests(): void {
    this.#refusesNew = true;
  }

  /** Cuts the streams that their callers can resume at another entry. */
  cutResumableStreams(): void {
    for (const task of [...this.#tasks]) task.cutForResume();
  }

  /** Ends the requests that have been quarantined since they began. */
  endQuarantined(): void {
    for (const task of [...this.#tasks]) task.endIfQuarantined();
  }

  /** Reads the request's body, and then answers or starts the request. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAtMs = performance.now();
    const answer = CallerAnswer.create(response, this.#context.isStopping);
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    request.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > this.#maxBodyBytes) return this.#rejectTooLarge(answer);
      chunks.push(chunk);
    });
    request.on("end", () => {
      if (answer.hasBegun) return;
      const body = Buffer.concat(chunks);
      this.#serve(request, { response, answer, body, arrivedAtMs });
    });
  }

  get #maxBodyBytes(): number {
    const limits = this.#context.configuration.table?.configuration.limits;
    return limits?.maxBodyBytes ?? Number.POSITIVE_INFINITY;
  }

  #rejectTooLarge(answer: CallerAnswer): void {
    answer.sendFinal({
      status: STATUS_TOO_LARGE,
      headers: { connection: "close" },
    });
  }

  #serve(
    message: IncomingMessage,
    { response, answer, body, arrivedAtMs }: {
      readonly response: ServerResponse;
      readonly answer: CallerAnswer;
      readonly body: Buffer;
      readonly arrivedAtMs: number;
    },
  ): void {
    const context = this.#context;
    const fields = message.headers;
    const path = message.url ?? "/";
    const head = decodeCallerHead(fields);
    const now = readInstant();
    const decision = this.#refusesNew
      ? { kind: "unavailable" as const, reason: "stopping" }
      : routeRequest(context.configuration, { head, target: path, now });
    if (decision.kind !== "routed") {
      const status = decision.kind === "denied" ? decision.status : 503;
      context.logger.log("requestDenied", {
        requestId: head.attemptId,
        status,
        reason: decision.reason,
        version: context.configuration.table?.configuration.version,
        proofAgeMs: Math.round(computeProofAgeMs(context.configuration, now)),
      });
      if (decision.kind === "denied") answer.sendFinal({ status });
      else answer.refuse(UNAVAILABLE_RETRY_MS);
      return;
    }
    this.#lastId += 1;
    const task = RequestTask.start(context, {
      id: String(this.#lastId),
      answer,
      onEnd: (ended) => this.#tasks.delete(ended),
      request: {
        head,
        method: message.method ?? "GET",
        path,
        fields,
        body,
        route: decision.route,
        organisation: decision.organisation,
        priority: decision.priority,
        arrivedAtMs,
      },
    });
    if (task.hasEnded) return;
    this.#tasks.add(task);
    response.on("close", () => task.handleCallerDisconnect());
  }
}
