import path from "node:path";
import { fileURLToPath } from "node:url";

/**
 * Resolves the compiled entry script of a package.
 * @param packageName The name of the package.
 * @returns The path of the script.
 */
export function programPath(packageName: string): string {
  const entry = fileURLToPath(import.meta.resolve(packageName));
  return path.join(path.dirname(entry), "main.js");
}
