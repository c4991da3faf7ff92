/**
 * Handles the requests of the callers' server: reads the body, matches the
 * route, and starts a task for each request that may be served.
 */

import { computeProofAgeMs } from "@dandelionbank/track-configuration";
import { readArrivalMs } from "@dandelionbank/listen-http";
import { decodeCallerHead } from "@dandelionbank/platform-adapter";
import { readInstant } from "@dandelionbank/read-instant";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { BodyLimits } from "./body_reader.ts";
import { CallerAnswer } from "./caller_answer.ts";
import type { ForwardContext } from "./forward_context.ts";
import { RequestTask } from "./request_task.ts";
import { estimateLongestRunMs } from "./estimate_run.ts";
import { computeTimeoutMs, type RoutedRequest } from "./routed_request.ts";
import { type RouteDecision, routeRequest } from "./route_request.ts";

/** `retry-after` of a request that this entry cannot route yet. */
const UNAVAILABLE_RETRY_MS = 200;
/** `retry-after` of a request that another entry takes at once. */
const STOPPING_RETRY_MS = 0;
/** For requests that come before the first configuration; all are refused. */
const UNCONFIGURED_LIMITS: BodyLimits = {
  maxBytes: Number.POSITIVE_INFINITY,
  idleTimeoutMs: 15_000,
};
const STATUS_TOO_LARGE = 413;
const STATUS_INTERNAL_ERROR = 500;

export class Forwarder {
  readonly #context: ForwardContext;
  readonly #tasks = new Set<RequestTask>();
  #lastId = 0;
  /** When accepted requests have to end; undefined unless the entry stops. */
  #endAtMs: number | undefined;

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

  /** Refuses, as not run, every further request that may not end by then. */
  refuseLongRequests(endAtMs: number): void {
    this.#endAtMs = endAtMs;
  }

  /** Refuses every further request as not run. */
  refuseNewRequests(): void {
    this.#endAtMs = performance.now();
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
    const arrivedAtMs = readArrivalMs(request);
    const answer = CallerAnswer.create(response, this.#context.isStopping);
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    this.#context.bodies.read(request, {
      limits: this.#bodyLimits,
      findDeadlineAtMs: () => this.#findDeadlineAtMs(request, arrivedAtMs),
      onTooLarge: () => this.#rejectTooLarge(answer),
      onRefused: (retryAfterMs) => answer.refuse(retryAfterMs),
      onBody: (body, release) => {
        try {
          this.#serve(request, {
            response,
            answer,
            body,
            release,
            arrivedAtMs,
          });
        } catch (error) {
          release();
          this.#endFailed(request, { answer, error });
        }
      },
    });
  }

  get #bodyLimits(): BodyLimits {
    const limits = this.#context.configuration.table?.configuration.limits;
    return {
      maxBytes: limits?.maxBodyBytes ?? UNCONFIGURED_LIMITS.maxBytes,
      idleTimeoutMs: limits?.idleTimeoutMs ?? UNCONFIGURED_LIMITS.idleTimeoutMs,
    };
  }

  /** Returns when the route's timeout ends a request that is still being read. */
  #findDeadlineAtMs(
    { headers, url }: IncomingMessage,
    arrivedAtMs: number,
  ): number {
    const head = decodeCallerHead(headers);
    const decision = routeRequest(this.#context.configuration, {
      head,
      target: url ?? "/",
      now: readInstant(),
    });
    return decision.kind === "routed"
      ? arrivedAtMs + computeTimeoutMs({ head, route: decision.route })
      : Number.POSITIVE_INFINITY;
  }

  #rejectTooLarge(answer: CallerAnswer): void {
    answer.sendFinal({
      status: STATUS_TOO_LARGE,
      headers: { connection: "close" },
    });
  }

  /** Ends a request whose handling has thrown an error. */
  #endFailed(
    { method, url }: IncomingMessage,
    { answer, error }: {
      readonly answer: CallerAnswer;
      readonly error: unknown;
    },
  ): void {
    this.#context.logger.log("unexpectedError", {
      operation: `request ${method} ${url}`,
      detail: String(error),
    });
    if (answer.hasBegun) answer.cut();
    else answer.sendFinal({ status: STATUS_INTERNAL_ERROR });
  }

  #serve(
    message: IncomingMessage,
    { response, answer, body, release, arrivedAtMs }: {
      readonly response: ServerResponse;
      readonly answer: CallerAnswer;
      readonly body: Buffer;
      /** To be called once the body is no longer needed. */
      readonly release: () => void;
      readonly arrivedAtMs: number;
    },
  ): void {
    const context = this.#context;
    const fields = message.headers;
    const path = message.url ?? "/";
    const head = decodeCallerHead(fields);
    const now = readInstant();
    const decision = this.#checkStop(
      routeRequest(context.configuration, { head, target: path, now }),
      { head, arrivedAtMs },
    );
    if (decision.kind !== "routed") {
      const status = decision.kind === "denied" ? decision.status : 503;
      context.logger.log("requestDenied", {
        requestId: head.attemptId,
        status,
        reason: decision.reason,
        version: context.configuration.table?.configuration.version,
        proofAgeMs: Math.round(computeProofAgeMs(context.configuration, now)),
      });
      release();
      if (decision.kind === "denied") answer.sendFinal({ status });
      else answer.refuse(this.#unavailableRetryMs);
      return;
    }
    this.#lastId += 1;
    const task = RequestTask.start(context, {
      id: String(this.#lastId),
      answer,
      onEnd: (ended) => {
        this.#tasks.delete(ended);
        release();
      },
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

  /** Refuses a routed request that may still run when the entry ends. */
  #checkStop(
    decision: RouteDecision,
    { head, arrivedAtMs }: Pick<RoutedRequest, "head" | "arrivedAtMs">,
  ): RouteDecision {
    if (this.#endAtMs === undefined || decision.kind !== "routed") {
      return decision;
    }
    const { route } = decision;
    const services = this.#context.configuration.table?.configuration.services;
    const profiles = route.shares.map(({ service }) =>
      services?.get(service)?.engine
    );
    const longestMs = Math.round(
      estimateLongestRunMs({ head, route }, profiles),
    );
    const leftMs = Math.max(0, Math.round(this.#endAtMs - arrivedAtMs));
    if (longestMs <= leftMs) return decision;
    const reason =
      `stopping: may run for ${longestMs} ms, ${leftMs} ms are left`;
    return { kind: "unavailable", reason };
  }

  get #unavailableRetryMs(): number {
    const isTakenByOther = this.#endAtMs !== undefined &&
      this.#context.countEntries() > 1;
    return isTakenByOther ? STOPPING_RETRY_MS : UNAVAILABLE_RETRY_MS;
  }
}
