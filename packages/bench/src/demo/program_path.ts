import path from "node:path";
import { fileURLToPath } from "node:url";

/**
 * Finds the compiled entry script of a package's program.
 * @param name The package's name.
 * @returns The script's path.
 */
export function programPath(name: string): string {
  const entry = fileURLToPath(import.meta.resolve(name));
  return path.join(path.dirname(entry), "main.js");
}
