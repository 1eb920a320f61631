package cmd

import (
	"fmt"

	"cactusstream.example/core/settings"
)

// hiddenValue is printed in place of a secret value.
const hiddenValue = "(secret)"

// hideSecret returns the edit without its value if that is secret.
func hideSecret(edit settings.Edit) settings.Edit {
	if key, known := settings.FindKey(edit.Key); known && key.Secret && !edit.Unset {
		edit.Value = hiddenValue
	}
	return edit
}

// completeOrganisationEdits adds the edits that keep the keys of an organisation and
// their digests consistent: new keys set their digests, and other digests unset the keys,
// which the keepers don't show.
func completeOrganisationEdits(edits []settings.Edit) ([]settings.Edit, error) {
	edited := make(map[string]bool)
	for _, edit := range edits {
		edited[edit.Path+"\x00"+edit.Key] = true
	}
	complete := edits[:len(edits):len(edits)]
	for _, edit := range edits {
		switch {
		case edit.Key == settings.KeyKeys && !edit.Unset && !edited[edit.Path+"\x00"+settings.KeyKeyDigests]:
			list, err := settings.ParseKeys(edit.Value)
			if err != nil {
				return nil, fmt.Errorf("[%s] %s: %w", edit.Path, settings.KeyKeys, err)
			}
			_, digests, err := settings.FormatKeys(list)
			if err != nil {
				return nil, fmt.Errorf("[%s]: %w", edit.Path, err)
			}
			complete = append(complete, settings.Edit{Path: edit.Path, Key: settings.KeyKeyDigests, Value: digests})
		case edit.Key == settings.KeyKeyDigests && !edited[edit.Path+"\x00"+settings.KeyKeys]:
			complete = append(complete, settings.Edit{Path: edit.Path, Key: settings.KeyKeys, Unset: true})
		}
	}
	return complete, nil
}
