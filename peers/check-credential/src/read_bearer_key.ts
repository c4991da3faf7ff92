/** Reads the key from an `Authorization` header. */

const PATTERN = /^Bearer +(\S+)$/i;

export function readBearerKey(header: string | undefined): string | undefined {
  return PATTERN.exec(header ?? "")?.[1];
}
