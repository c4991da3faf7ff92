/** Sites that are stopped at the end of their test, and waits with a time limit. */

import { callEntry, Site, type SiteOptions } from "@dandelionbank/run-site";
import type { AgentRegistration } from "@dandelionbank/types";
import type { TestContext } from "node:test";

const WAIT_LIMIT_MS = 15_000;
const POLL_MS = 20;

export async function startSite(
  context: TestContext,
  options: SiteOptions,
): Promise<Site> {
  const site = await Site.start(options);
  context.after(() => site.stop());
  return site;
}

/** Returns the registered agents by target, as listed by the platform. */
export async function readAgents(
  site: Site,
): Promise<ReadonlyMap<string, AgentRegistration>> {
  const call = { key: "none", path: "/v1/objects/agent" };
  const { body } = await callEntry(site.platformUrl, call);
  const { items } = JSON.parse(body) as {
    readonly items: readonly {
      readonly name: string;
      readonly value: AgentRegistration;
    }[];
  };
  return new Map(items.map(({ name, value }) => [name, value]));
}

/** Polls until `condition` holds; the error after a timeout contains `description`. */
export async function waitUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadlineMs = performance.now() + WAIT_LIMIT_MS;
  while (!(await condition())) {
    if (performance.now() > deadlineMs) {
      throw new Error(`Timed out after ${WAIT_LIMIT_MS} ms: ${description}`);
    }
    await sleep(POLL_MS);
  }
}

export function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
