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
import { PipelinedAnswers } from "./pipelined_answers.ts";
import { RequestTask } from "./request_task.ts";
import { computeTimeoutMs, type RoutedRequest } from "./routed_request.ts";
import { type RouteDecision, routeRequest } from "./route_request.ts";
import { SlowdownTracker } from "./slowdown_tracker.ts";
import { StopCheck } from "./stop_check.ts";

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
  readonly #pipelinedAnswers = PipelinedAnswers.create();
  readonly #stopCheck: StopCheck;
  readonly #slowdowns = SlowdownTracker.create();
  #lastId = 0;

  private constructor(context: ForwardContext) {
    const { configuration, countEntries } = context;
    this.#context = context;
    this.#stopCheck = StopCheck.create({
      countEntries,
      readConditions: (service) => ({
        profile: configuration.table?.configuration.services.get(service)
          ?.engine,
        slowdown: this.#readSlowdown(service),
      }),
    });
  }

  static create(context: ForwardContext): Forwarder {
    return new Forwarder(context);
  }

  /** Refuses, as not run, every request that may not end by then. */
  refuseLongRequests(endAtMs: number): void {
    this.#stopCheck.begin(endAtMs);
  }

  /** Refuses every further request as not run. */
  refuseNewRequests(): void {
    this.#stopCheck.endAccepting();
  }

  /** Ends all requests, with an answer where none has begun. */
  endRequests(): void {
    for (const task of [...this.#tasks]) task.endForStop();
  }

  /** Ends the requests that have been quarantined since they began. */
  endQuarantined(): void {
    for (const task of [...this.#tasks]) task.endIfQuarantined();
  }

  /** Reads the request's body, and then answers or starts the request. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAtMs = readArrivalMs(request);
    if (!this.#pipelinedAnswers.add(request, response)) return;
    const answer = CallerAnswer.create(
      response,
      {
        memory: this.#context.answerMemory,
        isLast: () =>
          this.#context.isStopping() &&
          this.#pipelinedAnswers.isLatest(response),
      },
    );
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
      else answer.refuse(this.#stopCheck.retryAfterMs);
      return;
    }
    this.#lastId += 1;
    const task = RequestTask.start(context, {
      id: String(this.#lastId),
      answer,
      stopCheck: this.#stopCheck,
      onEnd: (ended) => {
        this.#removeTask(ended);
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

  #removeTask(task: RequestTask): void {
    this.#tasks.delete(task);
    const { service, slowdown } = task;
    this.#slowdowns.record(service, slowdown, performance.now());
  }

  /** Returns how much slower than expected a service's requests ran, or run. */
  #readSlowdown(service: string): number {
    const running = [...this.#tasks].filter((task) => task.service === service);
    return Math.max(
      this.#slowdowns.readLargest(service, performance.now()),
      ...running.map(({ slowdown }) => slowdown),
    );
  }

  /** Refuses a routed request that may still run when the entry ends. */
  #checkStop(
    decision: RouteDecision,
    { head, arrivedAtMs }: Pick<RoutedRequest, "head" | "arrivedAtMs">,
  ): RouteDecision {
    if (decision.kind !== "routed") return decision;
    const { route } = decision;
    const reason = this.#stopCheck.findRefusal({ head, route, arrivedAtMs });
    return reason === undefined ? decision : { kind: "unavailable", reason };
  }
}
