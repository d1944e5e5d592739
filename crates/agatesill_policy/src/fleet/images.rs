//! Numbers for images, so that the search for a worker compares numbers instead of names.

use std::collections::HashMap;

/// Number of an image.
pub type ImageId = u16;

/// Number for steps that name no image.
pub const NO_IMAGE: ImageId = 0;

/// All images seen so far, by name and number.
#[derive(Debug, Default)]
pub struct Images {
    by_name: HashMap<String, ImageId>,
    names: Vec<String>,
}

impl Images {
    /// Returns the number of an image. Beyond 65,535 images all further ones share the last number.
    pub fn number(&mut self, name: &str) -> ImageId {
        if name.is_empty() {
            return NO_IMAGE;
        }
        if let Some(number) = self.by_name.get(name) {
            return *number;
        }
        let number = ImageId::try_from(self.by_name.len() + 1).unwrap_or(ImageId::MAX);
        self.by_name.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// Returns the name of an image; empty for [`NO_IMAGE`].
    pub fn name(&self, image: ImageId) -> &str {
        let index = usize::from(image).checked_sub(1);
        index.and_then(|index| self.names.get(index)).map_or("", String::as_str)
    }
}

/// Number of tasks by image on one worker. There are only a few images, so a list is enough.
#[derive(Clone, Debug, Default)]
pub struct ImageCounts {
    counts: Vec<(ImageId, u32)>,
}

impl ImageCounts {
    /// Counts one more task. Returns true if it is the first of its image.
    pub fn add(&mut self, image: ImageId) -> bool {
        if let Some((_, count)) = self.counts.iter_mut().find(|(other, _)| *other == image) {
            *count += 1;
            return false;
        }
        self.counts.push((image, 1));
        true
    }

    /// Counts one task less. Returns true if it was the last of its image.
    pub fn remove(&mut self, image: ImageId) -> bool {
        let Some(place) = self.counts.iter().position(|(other, _)| *other == image) else {
            return false;
        };
        self.counts[place].1 -= 1;
        let is_last = self.counts[place].1 == 0;
        if is_last {
            self.counts.remove(place);
        }
        is_last
    }

    /// Number of tasks of one image.
    pub fn of(&self, image: ImageId) -> u32 {
        self.counts.iter().find(|(other, _)| *other == image).map_or(0, |(_, count)| *count)
    }

    /// Iterates over the images.
    pub fn iter(&self) -> impl Iterator<Item = ImageId> + '_ {
        self.counts.iter().map(|(image, _)| *image)
    }
}
