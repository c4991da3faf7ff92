/** Chooses the adapter for a kind of target. */

import { HttpPool } from "@dandelionbank/open-http";
import type { TargetKind } from "@dandelionbank/types";
import { EngineAdapter } from "./engine_adapter.ts";
import { PlainAdapter } from "./plain_adapter.ts";
import type { TargetAdapter } from "./target_adapter.ts";

export function createTargetAdapter(
  kind: TargetKind,
  options: { readonly targetUrl: string; readonly connections: number },
): TargetAdapter {
  const pool = HttpPool.create({
    origin: options.targetUrl,
    connections: options.connections,
  });
  if (kind === "plain") return PlainAdapter.create(pool);
  return EngineAdapter.create(pool);
}
