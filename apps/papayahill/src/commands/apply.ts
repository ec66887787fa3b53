import { encodeConfig, formatFault, parseOperatorConfig } from '@papayahill/settings'
import { CliFailure } from '../CliFailure.js'
import { EXIT_CODES } from '../exitCodes.js'
import { withWait } from '../options.js'
import { readTextFile } from '../readTextFile.js'
import { defineCommand } from '../types.js'
import { reportAccepted } from '../waitInForce.js'

/** Replaces the configuration by an operators' file. Domains out, moves and versions in use stay as set by other commands. */
export const apply = defineCommand({
  command: 'apply <file>',
  describe: 'Set the configuration from an operators\' file',
  examples: [['$0 apply examples/consorcio.toml --wait', 'Apply and wait until it is in force']],
  builder: (argv) => withWait(argv)
    .positional('file', { type: 'string', demandOption: true, describe: 'The operators\' file (TOML)' })
    .option('base', { type: 'number', describe: 'Refuse the change if the newest version is not this one' }),
  run: async (args, cli) => {
    const parsed = parseOperatorConfig(readTextFile(args.file), args.file)
    if (parsed.isErr) throw new CliFailure(parsed.error.map(formatFault).join('\n'), EXIT_CODES.malformed)
    const client = cli.client()
    const changes = [{ kind: 'replace', config: encodeConfig(parsed.value) }]
    const accepted = await client.request('POST', '/v1/config/changes', args.base === undefined ? { changes } : { changes, base: args.base })
    return await reportAccepted(accepted, args, client, cli)
  }
})
